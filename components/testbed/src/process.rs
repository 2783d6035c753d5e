//! Child processes: start, signals and resource usage.

use std::fs;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use errors::{Error, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::ports::spawn;

/// Clock ticks per second in `/proc/{pid}/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Bytes in a kibibyte.
const KIB: u64 = 1024;

/// A child process. It is killed when dropped.
pub struct Process {
    /// Name shown in messages.
    pub name: String,
    child: Child,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Processor time since its start.
    pub cpu_s: f64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
}

impl Process {
    /// Starts a program. Its standard error is appended to the file `log`.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Self> {
        let file_error = |error| Error::Io(program.display().to_string(), error);
        let log_file =
            fs::File::options().create(true).append(true).open(log).map_err(file_error)?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file);
        let child = spawn(&mut command).map_err(file_error)?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// Starts a program that may open only so many descriptors.
    pub fn start_with_descriptors(
        name: &str,
        program: &Path,
        args: &[String],
        log: &Path,
        max_descriptors: u64,
    ) -> Result<Self> {
        let script = format!("ulimit -n {max_descriptors}; exec \"$0\" \"$@\"");
        let words = ["-c".to_owned(), script, program.display().to_string()];
        Self::start(name, Path::new("sh"), &[&words, args].concat(), log)
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).unwrap_or(i32::MAX))
    }

    fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).ok();
    }

    /// Kills the process with SIGKILL and waits for it to end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended. Returns false if it has not within `timeout`.
    pub fn wait_ended(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if !self.is_running() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Reads the resource usage of the process from `/proc`; `None` if it cannot be read.
    pub fn usage(&self) -> Option<Usage> {
        let pid = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // Fields after the command name: utime, stime and num_threads.
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
