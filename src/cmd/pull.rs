//! `carobsill pull`.

use crate::cli::PullArgs;
use crate::cmd::store;
use crate::files::{read_base, read_text, write_base, write_text};
use crate::messages::{self, Failure};

/// Downloads the rules in force to a file.
pub fn run(args: &PullArgs) -> Result<(), Failure> {
    let name = args.file.display().to_string();
    if args.file.exists() && !args.discard_edits {
        let base = read_base(&args.file)?;
        let unchanged =
            base.is_some_and(|base| read_text(&args.file).is_ok_and(|text| text == base.text));
        if !unchanged {
            return Err(Failure::NotFound(messages::unapplied_edits(&name)));
        }
    }
    let store = store::open(&args.store);
    let Some(base) = store::read_rules(&store)? else {
        return Err(Failure::NotFound(messages::no_rules()));
    };
    write_text(&args.file, &base.text)?;
    write_base(&args.file, &base)?;
    println!("{}", messages::pulled(&name, base.version));
    Ok(())
}
