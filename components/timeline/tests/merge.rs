//! Merging of timelines of several processes in causal order.

use timeline::{Filter, merge_lines};

const TIMELINE_A: &str = r#"{"stamp":{"wall_ms":10,"counter":0},"node":{"name":"a","incarnation":1},"kind":"pool_owned","pool":"north","epoch":1}
a line that is not an event
{"stamp":{"wall_ms":12,"counter":1},"node":{"name":"a","incarnation":1},"kind":"job_accepted","pool":"north","epoch":1,"subject":"north:j1"}"#;
const TIMELINE_B: &str = r#"{"stamp":{"wall_ms":12,"counter":0},"node":{"name":"b","incarnation":1},"kind":"peer_alive","subject":"a"}"#;

#[test]
fn events_are_ordered_by_stamp_and_filtered() {
    let lines = || TIMELINE_A.lines().chain(TIMELINE_B.lines());
    let events = merge_lines(lines(), &Filter::default());
    let node_names: Vec<&str> = events.iter().map(|event| event.node.name.as_str()).collect();
    assert_eq!(node_names, ["a", "b", "a"]);
    let filter = Filter { pool: Some("north".parse().unwrap()), subject: Some("j1".to_owned()) };
    assert_eq!(merge_lines(lines(), &filter).len(), 1);
}
