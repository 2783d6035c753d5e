//! How lines leave the process.

/// A burst of placements: a leader wrote 60 KB in a tenth of a second, in one write, of which the
/// reader of the pipe kept the first 8 KB.
#[test]
fn a_burst_leaves_in_writes_that_a_pipe_takes_whole() {
    let lines: Vec<String> = (0..300).map(|number| format!("{number:0200}")).collect();
    let chunks = eventlog::chunks(&lines);
    assert!(chunks.iter().all(|chunk| chunk.len() <= 4_096 && chunk.ends_with('\n')));
    let out: Vec<&str> = chunks.iter().flat_map(|chunk| chunk.lines()).collect();
    assert_eq!(out, lines);
}

#[test]
fn a_long_line_is_written_alone_and_whole() {
    let lines = vec!["a".to_owned(), "b".repeat(9_000), "c".to_owned()];
    let chunks = eventlog::chunks(&lines);
    assert_eq!(chunks.concat(), format!("a\n{}\nc\n", "b".repeat(9_000)));
    assert!(chunks.iter().all(|chunk| chunk.ends_with('\n')));
}
