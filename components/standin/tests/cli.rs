//! Command-line help of `carobsill-standin`.

use std::process::Command;

#[test]
fn help_names_all_stand_ins() {
    let output =
        Command::new(env!("CARGO_BIN_EXE_carobsill-standin")).arg("--help").output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("platform") && text.contains("backends"), "{text}");
}
