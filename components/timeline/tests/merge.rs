//! Time lines of several processes in one causal order.

use timeline::{Filter, merge_lines};

const FIRST: &str = r#"{"stamp":{"wall_ms":10,"counter":0},"node":{"name":"a","incarnation":1},"kind":"pool_owned","pool":"north","epoch":1}
a line that is no event
{"stamp":{"wall_ms":12,"counter":1},"node":{"name":"a","incarnation":1},"kind":"job_accepted","pool":"north","epoch":1,"subject":"north:j1"}"#;
const SECOND: &str = r#"{"stamp":{"wall_ms":12,"counter":0},"node":{"name":"b","incarnation":1},"kind":"peer_alive","subject":"a"}"#;

#[test]
fn events_are_ordered_by_stamp_and_filtered() {
    let lines = || FIRST.lines().chain(SECOND.lines());
    let all = merge_lines(lines(), &Filter::default());
    let order: Vec<&str> = all.iter().map(|event| event.node.name.as_str()).collect();
    assert_eq!(order, ["a", "b", "a"]);
    let of_pool = Filter { pool: Some("north".parse().unwrap()), subject: Some("j1".to_owned()) };
    assert_eq!(merge_lines(lines(), &of_pool).len(), 1);
}
