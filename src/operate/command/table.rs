//! Text tables.

/// Aligns rows in columns; the first row is the header.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        out += cells.join("  ").trim_end();
        out.push('\n');
    }
    out
}

/// Returns a row of cells.
pub fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.iter().map(ToString::to_string).collect()
}
