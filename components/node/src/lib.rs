//! Parts shared by all carobsill processes: identity, membership, distribution of the rules, logging
//! and start-up.

mod args;
mod identity;
mod logging;
mod node;
mod rules_watch;
mod services;

pub use args::ProcessArgs;
pub use identity::new_identity;
pub use logging::start_logging;
pub use node::{Node, NodeChange};
pub use rules_watch::{RULES_KEY, RulesUpdate, RulesWatch};
pub use services::Services;
