//! Command line of `carobsill-standin`.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use errors::Result;
use standin::{BackendsSettings, serve_backends, serve_platform};
use types::{DomainId, Resources};

/// Stand-ins for the systems that carobsill depends on, for development and tests.
#[derive(Debug, Parser)]
#[command(name = "carobsill-standin", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the key-value service.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Runs workers, runners and the VM list.
    Backends(BackendsArgs),
}

#[derive(Debug, Args)]
struct BackendsArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Failure domains, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    domains: Vec<DomainId>,
    /// Number of workers per failure domain.
    #[arg(long, default_value_t = 16)]
    workers: usize,
    /// Cores per worker.
    #[arg(long, default_value_t = 32)]
    cores: u64,
    /// Memory per worker, in GiB.
    #[arg(long, default_value_t = 64)]
    mem_gb: u64,
    /// Every n-th worker has accelerators; 0 for none.
    #[arg(long, default_value_t = 0)]
    accel_every: usize,
    /// Number of workers or runners per rack.
    #[arg(long, default_value_t = 8)]
    rack_size: usize,
    /// Number of runners per failure domain.
    #[arg(long, default_value_t = 16)]
    runners: usize,
    /// Slots per runner.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Time a runner takes for a request, in milliseconds.
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
}

/// Runs the selected stand-in until the process ends.
pub fn run(cli: Cli) -> Result<()> {
    match cli.command {
        Command::Platform { listen } => serve_platform(listen),
        Command::Backends(args) => serve_backends(BackendsSettings {
            listen: args.listen,
            domains: args.domains,
            workers: args.workers,
            capacity: Resources {
                cpu_milli: args.cores * 1000,
                mem_mb: args.mem_gb * 1024,
                accels: 0,
            },
            accel_every: args.accel_every,
            rack_size: args.rack_size,
            runners: args.runners,
            slots: args.slots,
            service_ms: args.service_ms,
        }),
    }
}
