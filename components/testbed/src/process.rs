//! One child process.

use std::fs;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use errors::{Error, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Bytes in a kibibyte.
const KIB: u64 = 1024;

/// A running child process. It is killed when dropped.
pub struct Process {
    /// Name, for messages.
    pub name: String,
    child: Child,
}

/// Resources that a process used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
}

impl Process {
    /// Starts a program. Its standard error goes to `log`.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Self> {
        let file_error = |error| Error::File(program.display().to_string(), error);
        let log = fs::File::options().create(true).append(true).open(log).map_err(file_error)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(file_error)?;
        Ok(Self { name: name.to_owned(), child })
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).unwrap_or(i32::MAX))
    }

    fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).ok();
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks for a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended. False if it has not within this time.
    pub fn wait_ended(&mut self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if !self.is_running() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// What the process used so far.
    pub fn usage(&self) -> Option<Usage> {
        let pid = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let ticks = number(11)? + number(12)?;
        let threads = number(17)?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kib: u64 = resident.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some(Usage {
            cpu_s: ticks as f64 / TICKS_PER_S,
            resident_bytes: resident_kib * KIB,
            threads,
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}
