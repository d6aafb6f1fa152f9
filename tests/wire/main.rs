//! Golden tests of every stored record, message, state service call and settings file: what is
//! written must equal the files under `tests/wire` byte for byte. The files contain only names on
//! the wire, so renaming identifiers in the code does not change them.

mod cloud;
mod peers;
mod records;
mod settings;
mod state;
mod users;
mod workers;

use serde::{de::DeserializeOwned, Serialize};
use std::path::PathBuf;

fn path_of(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/wire").join(name)
}

/// Compares lines with a golden file. If they differ, the new text is written to the tests'
/// temporary directory for inspection.
fn assert_golden(name: &str, lines: &[String]) {
    let new = lines.join("\n") + "\n";
    let golden = std::fs::read_to_string(path_of(name)).unwrap_or_default();
    if new == golden {
        return;
    }
    std::fs::write(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name), &new).expect("a temporary file");
    let differs = golden.lines().zip(new.lines()).position(|(golden, new)| golden != new);
    let at = differs.unwrap_or(golden.lines().count().min(new.lines().count()));
    panic!("{name}:{}: {:?} became {:?}", at + 1, golden.lines().nth(at), new.lines().nth(at));
}

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("json")
}

/// Serializes a message, and checks that parsing and serializing it again gives the same text.
fn round_trip_json<T: Serialize + DeserializeOwned>(message: &T) -> String {
    let written = text(message);
    assert_eq!(text(&serde_json::from_str::<T>(&written).expect("a message")), written);
    written
}
