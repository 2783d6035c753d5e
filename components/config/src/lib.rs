//! Process settings and operators' rules. Each file is validated as a whole before any of it takes
//! effect.

mod check;
mod edit;
mod key;
mod problem;
mod rule;
mod rules;
mod settings;
mod text;

pub use edit::{EditConflict, merge_edits};
pub use key::{KeyHash, new_secret, parse_bearer};
pub use problem::Problem;
pub use rule::{
    AvoidRule, EvacuateRule, HeadroomRule, KeyRule, LimitRule, OperatorRule, PinRule, PoolRule,
    QueueRule, ReportFormat, Rule, TeamRule, VendorRule, WorkKind,
};
pub use rules::{KeyCheck, Limit, Rules};
pub use settings::{
    HttpSettings, KvSettings, PlatformSettings, ProcessSettings, Settings, Timing, TlsSettings,
};
