//! Splitting of the log into writes.

/// Guards against truncated logs: a burst of placements produced 60 KB of lines within 0.1 s, which
/// left the process in a single write. The reader of the pipe got only the first 8 KB.
#[test]
fn a_burst_is_written_in_chunks_that_are_atomic_on_a_pipe() {
    let lines: Vec<String> = (0..300).map(|number| format!("{number:0200}")).collect();
    let chunks = eventlog::join_lines(&lines);
    assert!(chunks.iter().all(|chunk| chunk.len() <= 4_096 && chunk.ends_with('\n')));
    let written: Vec<&str> = chunks.iter().flat_map(|chunk| chunk.lines()).collect();
    assert_eq!(written, lines);
}

#[test]
fn a_line_longer_than_a_chunk_is_written_by_itself() {
    let lines = vec!["a".to_owned(), "b".repeat(9_000), "c".to_owned()];
    let chunks = eventlog::join_lines(&lines);
    assert_eq!(chunks.concat(), format!("a\n{}\nc\n", "b".repeat(9_000)));
    assert!(chunks.iter().all(|chunk| chunk.ends_with('\n')));
}
