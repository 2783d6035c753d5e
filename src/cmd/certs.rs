//! `carobsill certs`.

use net::{create_authority, create_certificate};

use crate::cli::CertsArgs;
use crate::messages::{self, Failure};

/// Creates a certificate for each process, and the deployment's certificate authority if it does not
/// exist yet.
pub fn run(args: &CertsArgs) -> Result<(), Failure> {
    if !args.dir.join("ca.cert.pem").exists() {
        let authority = create_authority(&args.dir)?;
        println!("{}", messages::certificate(&authority.cert.display().to_string()));
    }
    for process in &args.processes {
        let files = create_certificate(&args.dir, process)?;
        println!("{}", messages::certificate(&files.cert.display().to_string()));
    }
    Ok(())
}
