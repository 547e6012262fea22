//! Every relative link in the documents leads somewhere.

use std::fs;
use std::path::{Path, PathBuf};

fn documents(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            documents(&path, found);
        } else if path.extension().is_some_and(|e| e == "md") {
            found.push(path);
        }
    }
}

fn targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
        .filter(|link| !link.contains("://") && !link.starts_with('#'))
        .map(|link| link.split('#').next().unwrap_or(link))
        .collect()
}

#[test]
fn links_resolve() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    documents(&root.join("docs"), &mut found);
    for name in ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"] {
        found.push(root.join(name));
    }
    for path in found {
        let text = fs::read_to_string(&path).unwrap();
        for link in targets(&text) {
            let to = path.parent().unwrap().join(link);
            assert!(to.exists(), "{}: {link}", path.display());
        }
    }
}
