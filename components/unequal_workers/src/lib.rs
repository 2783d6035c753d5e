//! Which workers a step should use where some take much longer than others.
//!
//! Load pattern: two thirds of the workers run at 0.9 of the usual time, one third at 2.3. Short
//! urgent steps of ten tasks are late as soon as one task is on a slow worker, while long steps with
//! slack could use slow workers and take fast ones. Urgent work gets fast workers, and waits for one
//! rather than end late. Work with slack gets slow workers while its slack bears the longer run time,
//! and leaves free as much fast capacity as urgent work starts at once.
//!
//! Workers are divided into two classes, fast and slow. The order within a class stays that of
//! services with workers of one speed.

mod fleet;
mod need;
mod reserve;

pub use fleet::Fleet;
pub use need::{Choice, Need, SLOWNESS_WEIGHT, Work};
pub use reserve::Reserve;
