//! The committed generated code belongs to the committed schemas.

use std::fs;
use std::path::Path;

use sha2::{Digest, Sha256};

fn digest_of(path: &Path) -> String {
    hex::encode(Sha256::digest(fs::read(path).unwrap()))
}

#[test]
fn generated_code_matches_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut compared = 0;
    for entry in fs::read_dir(root.join("schema")).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let name = match path.extension().and_then(|e| e.to_str()) {
            Some("json") => stem,
            Some("capnp") => format!("{stem}_capnp"),
            _ => continue,
        };
        let recorded = fs::read_to_string(root.join(format!("src/generated/{name}.digest")));
        assert_eq!(
            recorded.unwrap().trim(),
            digest_of(&path),
            "{}",
            path.display()
        );
        compared += 1;
    }
    assert!(compared > 0);
}
