//! Parsing of valid and malformed reports in all vendors' formats.

use backends::adapter_for;
use config::ReportFormat;
use libs::ureq::http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use types::{BackendState, Millis, RunnerReport};

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_str(value).unwrap()))
        .collect()
}

fn expected(state: BackendState) -> RunnerReport {
    let running = vec!["a".parse().unwrap(), "b".parse().unwrap()];
    RunnerReport { state, incarnation: 7, clock_ms: Millis(12), slots: 8, running }
}

#[test]
fn every_format_is_parsed_to_the_same_report() {
    let no_headers = HeaderMap::new();
    let json = r#"{"status":"DRAINING","boot":7,"clock_ms":12,"slots":8,"running":["a","b"]}"#;
    let read = adapter_for(ReportFormat::Json).parse(200, &no_headers, json).unwrap();
    assert_eq!(read, expected(BackendState::Leaving));
    let text = "health=ok\nboot=7\nclock=12\nslots=8\njobs=a, b\n";
    let read = adapter_for(ReportFormat::Text).parse(200, &no_headers, text).unwrap();
    assert_eq!(read, expected(BackendState::Up));
    let pairs =
        headers(&[("x-boot", "7"), ("x-clock-ms", "12"), ("x-slots", "8"), ("x-running", "a,b")]);
    let read = adapter_for(ReportFormat::Headers).parse(503, &pairs, "").unwrap();
    assert_eq!(read, expected(BackendState::Down));
}

#[test]
fn reports_without_a_valid_field_are_rejected() {
    let no_headers = HeaderMap::new();
    for (format, body) in [
        (ReportFormat::Json, r#"{"status":"UP","boot":7,"slots":8,"running":[]}"#),
        (ReportFormat::Json, r#"{"status":"FINE","boot":7,"clock_ms":12,"slots":8,"running":[]}"#),
        (ReportFormat::Text, "health=ok\nboot=7\nslots=8\n"),
        (ReportFormat::Text, "health=well\nboot=7\nclock=1\nslots=8\n"),
        (ReportFormat::Headers, ""),
    ] {
        assert!(adapter_for(format).parse(200, &no_headers, body).is_err(), "{format:?} {body}");
    }
}

proptest! {
    #[test]
    fn any_body_is_parsed_or_rejected(status in 100_u16..600, body in "\\PC{0,200}") {
        for format in [ReportFormat::Json, ReportFormat::Text, ReportFormat::Headers] {
            let _ = adapter_for(format).parse(status, &HeaderMap::new(), &body);
        }
    }
}
