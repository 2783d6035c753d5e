//! Reports of all vendors' forms, good and malformed.

use backends::adapter_for;
use config::VendorForm;
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
fn every_form_is_read_to_the_same_report() {
    let none = HeaderMap::new();
    let json = r#"{"status":"DRAINING","boot":7,"clock_ms":12,"slots":8,"running":["a","b"]}"#;
    let read = adapter_for(VendorForm::Json).parse(200, &none, json).unwrap();
    assert_eq!(read, expected(BackendState::Leaving));
    let text = "health=ok\nboot=7\nclock=12\nslots=8\njobs=a, b\n";
    let read = adapter_for(VendorForm::Text).parse(200, &none, text).unwrap();
    assert_eq!(read, expected(BackendState::Up));
    let pairs =
        headers(&[("x-boot", "7"), ("x-clock-ms", "12"), ("x-slots", "8"), ("x-running", "a,b")]);
    let read = adapter_for(VendorForm::Headers).parse(503, &pairs, "").unwrap();
    assert_eq!(read, expected(BackendState::Down));
}

#[test]
fn reports_that_lack_a_field_are_refused() {
    let none = HeaderMap::new();
    for (form, body) in [
        (VendorForm::Json, r#"{"status":"UP","boot":7,"slots":8,"running":[]}"#),
        (VendorForm::Json, r#"{"status":"FINE","boot":7,"clock_ms":12,"slots":8,"running":[]}"#),
        (VendorForm::Text, "health=ok\nboot=7\nslots=8\n"),
        (VendorForm::Text, "health=well\nboot=7\nclock=1\nslots=8\n"),
        (VendorForm::Headers, ""),
    ] {
        assert!(adapter_for(form).parse(200, &none, body).is_err(), "{form:?} {body}");
    }
}

proptest! {
    #[test]
    fn any_body_is_read_or_refused(status in 100_u16..600, body in "\\PC{0,200}") {
        for form in [VendorForm::Json, VendorForm::Text, VendorForm::Headers] {
            let _ = adapter_for(form).parse(status, &HeaderMap::new(), &body);
        }
    }
}
