//! A process of the project under test.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::Instant;

use rustix::process::{Pid, Signal, kill_process};

use super::patience::{PATIENCE, eventually};

/// The path of the program `name`, built beside this one.
pub fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folder = own.parent().unwrap();
    let folder = match folder.ends_with("deps") {
        true => folder.parent().unwrap(),
        false => folder,
    };
    folder.join(name)
}

/// A running process; dropping it kills it.
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `program` with `arguments`; its output goes to the file `log`.
    pub fn spawn(name: &str, arguments: &[String], log: &Path) -> Self {
        let out = File::create(log).unwrap();
        let errors = out.try_clone().unwrap();
        Self {
            child: start(name, arguments, out.into(), errors.into()),
            log: log.to_owned(),
        }
    }

    /// Starts `program` with `arguments`; its output is the returned pipe, its errors go to `log`.
    pub fn spawn_piped(name: &str, arguments: &[String], log: &Path) -> (Self, ChildStdout) {
        let errors = File::create(log).unwrap();
        let mut child = start(name, arguments, Stdio::piped(), errors.into());
        let output = child.stdout.take().unwrap();
        let log = log.to_owned();
        (Self { child, log }, output)
    }

    /// Its process number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it has written so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it has written a line that begins with `start`, and returns that line.
    pub async fn line(&mut self, start: &str) -> String {
        let mut found = None;
        eventually(start, async || {
            assert!(self.is_running(), "it ended early: {}", self.output());
            let output = self.output();
            found = output
                .lines()
                .find(|line| line.starts_with(start))
                .map(str::to_owned);
            found.is_some()
        })
        .await;
        found.unwrap()
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks it to read its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Pauses it.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on after a pause.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills it without waiting for its end.
    pub fn crash(&self) {
        self.signal(Signal::KILL);
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "it did not end");
            actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }
}

fn start(name: &str, arguments: &[String], output: Stdio, errors: Stdio) -> Child {
    Command::new(program(name))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|cause| panic!("cannot start {name}: {cause}"))
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("--- {}\n{}", self.log.display(), self.output());
        }
    }
}
