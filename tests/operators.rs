//! End-to-end tests of the `carobsill` command against the stand-in for the key-value service.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use testbed::{Client, Process, binaries_dir, free_address, spawn};

/// Runs a command to its end.
fn run(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command).unwrap().wait_with_output().unwrap()
}

const RULES: &str = "\
- pool: {name: north, domain: north}  # Hanna
- team: {name: mill, share: 30}  # Piet
- team: {name: lakeside, share: 30}  # Hanna
";

struct Session {
    dir: PathBuf,
    kv: String,
    _platform: Process,
    client: Client,
    log: String,
}

impl Session {
    fn start(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::remove_dir_all(&dir).ok();
        std::fs::create_dir_all(&dir).unwrap();
        let address = free_address();
        let args = ["platform".to_owned(), "--listen".to_owned(), address.to_string()];
        let program = binaries_dir().unwrap().join("carobsill-standin");
        let log = dir.join("platform.log");
        let mut platform = Process::start("platform", &program, &args, &log).unwrap();
        let client = Client::default();
        while client.get(address, "/calls", "").is_err() {
            assert!(platform.is_running(), "{}", std::fs::read_to_string(log).unwrap());
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
        let kv = format!("http://{address}");
        Self { dir, kv, _platform: platform, client, log: String::new() }
    }

    /// Runs the command and appends its arguments, output and exit code to the log. Runs in the
    /// session's directory, so that the output contains no paths.
    fn run(&mut self, args: &[&str]) -> i32 {
        let mut command = Command::new(env!("CARGO_BIN_EXE_carobsill"));
        command.current_dir(&self.dir).env("CAROBSILL_KV", &self.kv).args(args);
        let output = run(&mut command);
        let code = output.status.code().unwrap();
        let text = [output.stdout, output.stderr]
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .concat();
        self.log.push_str(&format!("$ carobsill {}\n{text}[exit {code}]\n", args.join(" ")));
        code
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.dir.join(file), text).unwrap();
    }

    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(self.dir.join(file)).unwrap()
    }

    fn set_faults(&self, faults: &str) {
        let address = self.kv.trim_start_matches("http://").parse().unwrap();
        let json = [("Content-Type", "application/json")];
        self.client.post(address, "/faults", "", &json, faults).unwrap();
    }
}

#[test]
fn two_operators_edit_at_the_same_time() {
    let mut session = Session::start("two-operators");
    session.write("first.yaml", RULES);
    assert_eq!(session.run(&["apply", "first.yaml"]), 0);
    assert_eq!(session.run(&["pull", "hanna.yaml"]), 0);
    assert_eq!(session.run(&["pull", "piet.yaml"]), 0);
    let hanna = session
        .read("hanna.yaml")
        .replace("lakeside, share: 30}  # Hanna", "lakeside, share: 40}  # Hanna, June");
    session.write("hanna.yaml", &hanna);
    let piet = session
        .read("piet.yaml")
        .replace("mill, share: 30}  # Piet", "mill, share: 50}  # Piet, June");
    session.write("piet.yaml", &piet);
    assert_eq!(session.run(&["apply", "hanna.yaml"]), 0);
    assert_eq!(
        session.run(&["apply", "piet.yaml"]),
        0,
        "edits to different lines must both succeed"
    );
    let both = session.read("piet.yaml");
    assert!(both.contains("share: 40") && both.contains("share: 50"), "{both}");
    session.write(
        "hanna.yaml",
        &session
            .read("hanna.yaml")
            .replace("mill, share: 30}  # Piet", "mill, share: 5}  # Hanna, July"),
    );
    assert_eq!(session.run(&["apply", "hanna.yaml"]), 4, "edits to the same line must conflict");
    assert_eq!(session.run(&["pull", "hanna.yaml"]), 6, "a pull must not overwrite edits");
    assert_eq!(session.run(&["pull", "--discard-edits", "hanna.yaml"]), 0);
    assert_eq!(session.read("hanna.yaml"), both);
    insta::assert_snapshot!(session.log);
}

#[test]
fn an_invalid_file_changes_nothing() {
    let mut session = Session::start("invalid-file");
    session.write("rules.yaml", RULES);
    assert_eq!(session.run(&["apply", "rules.yaml"]), 0);
    session.write(
        "rules.yaml",
        &format!("{RULES}- limit: {{team: nobody, cores: 3}}  # Piet\n- team: {{name: x}}\n"),
    );
    assert_eq!(session.run(&["check", "rules.yaml"]), 3);
    assert_eq!(session.run(&["apply", "rules.yaml"]), 3);
    assert_eq!(session.run(&["pull", "--discard-edits", "rules.yaml"]), 0);
    assert_eq!(session.read("rules.yaml"), RULES);
    insta::assert_snapshot!(session.log);
}

#[test]
fn a_lost_write_response_is_resolved_by_reading() {
    let mut session = Session::start("lost-response");
    session.write("rules.yaml", RULES);
    session.set_faults(r#"{"lose_answers": 1.0}"#);
    assert_eq!(session.run(&["apply", "rules.yaml"]), 0);
    session.set_faults(r#"{"down": true}"#);
    session.write("rules.yaml", &RULES.replace("share: 30}  # Piet", "share: 31}  # Piet"));
    assert_eq!(session.run(&["apply", "rules.yaml"]), 1, "the read fails, so nothing is written");
    session.set_faults("{}");
    assert_eq!(session.run(&["apply", "rules.yaml"]), 0);
    assert_eq!(session.run(&["apply", "rules.yaml"]), 0, "applying again must change nothing");
    insta::assert_snapshot!(session.log);
}

#[test]
fn a_key_is_generated_and_withdrawn() {
    let mut session = Session::start("keys");
    session.write("rules.yaml", RULES);
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobsill"));
    command.args(["key", "new", "--team", "mill", "mill-app", "--asked-by", "Piet, 2026-11-03"]);
    let output = run(&mut command);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let line = text.lines().find(|line| line.starts_with("- key")).unwrap();
    let token = text.lines().last().unwrap();
    let secret = token.strip_prefix("mill-app.").unwrap();
    assert!(!line.contains(secret), "the rules line contains the secret");
    session.write("rules.yaml", &format!("{RULES}{line}\n"));
    assert_eq!(session.run(&["check", "rules.yaml"]), 0);
    assert_eq!(session.run(&["key", "withdraw", "mill-app", "rules.yaml"]), 0);
    assert_eq!(session.read("rules.yaml"), RULES);
    assert_eq!(session.run(&["key", "withdraw", "mill-app", "rules.yaml"]), 6);
    insta::assert_snapshot!(session.log);
}

#[test]
fn the_example_rules_are_valid() {
    for user in ["vandermolen", "etosha"] {
        let file = format!("{}/examples/{user}/rules.yaml", env!("CARGO_MANIFEST_DIR"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_carobsill"));
        let output = run(command.args(["check", &file]));
        assert!(output.status.success(), "{file}");
    }
}
