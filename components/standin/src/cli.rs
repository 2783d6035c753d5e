//! Command line of `carobsill-standin`.

use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use errors::Result;
use standin::{BackendsSettings, serve_backends, serve_platform};
use types::{DomainId, Resources};

/// Stand-ins for what surrounds carobsill, for development and tests.
#[derive(Debug, Parser)]
#[command(name = "carobsill-standin", version)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serves the key-value service.
    Platform {
        /// Where to listen.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Serves workers, runners and the list of VMs.
    Backends(BackendsArgs),
}

#[derive(Debug, Args)]
struct BackendsArgs {
    /// Where to listen.
    #[arg(long)]
    listen: SocketAddr,
    /// Failure domains, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    domains: Vec<DomainId>,
    /// Workers in each failure domain.
    #[arg(long, default_value_t = 16)]
    workers: usize,
    /// Cores of each worker.
    #[arg(long, default_value_t = 32)]
    cores: u64,
    /// Memory of each worker, in gibibytes.
    #[arg(long, default_value_t = 64)]
    mem_gb: u64,
    /// Every so many workers have accelerators; 0 for none.
    #[arg(long, default_value_t = 0)]
    accel_every: usize,
    /// Workers in a rack.
    #[arg(long, default_value_t = 8)]
    rack_size: usize,
    /// Runners in each failure domain.
    #[arg(long, default_value_t = 16)]
    runners: usize,
    /// Slots of each runner.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Time that a runner works on a request, in milliseconds.
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
}

/// Runs the chosen stand-in until the process ends.
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
