//! Guards against startup errors that do not name the field, the value and the remedy of an invalid
//! setting. Each test starts a daemon process with one invalid setting.

mod common;

use std::process::{Command, Output};

use common::ScratchDir;

/// A valid settings file, from which each test derives an invalid one.
const VALID: &str = r#"
daemon = "d1"
region = "r1"
zone = "z1"
fleet_secret = "0123456789abcdef"

[listen]
callers = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
admin = "127.0.0.1:7003"
announce = "127.0.0.1:7004"

[platform]
address = "127.0.0.1:7005"

[operators]
token_hash = "00000000000000000000000000000000"
"#;

fn start(name: &str, text: &str) -> Output {
    let folder = ScratchDir::open(name);
    let path = folder.write("settings.toml", text);
    Command::new(env!("CARGO_BIN_EXE_wagtailtrackd"))
        .arg("--config")
        .arg(path)
        .output()
        .unwrap()
}

/// Checks that the daemon exits with code 2 and that its message contains `words`.
fn assert_refused(name: &str, text: &str, words: &[&str]) {
    let output = start(name, text);
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{message}");
    for word in words {
        assert!(message.contains(word), "'{word}' is not in: {message}");
    }
}

#[test]
fn unknown_field() {
    assert_refused(
        "unknown",
        &format!("colour = 3\n{VALID}"),
        &["colour", "unknown field"],
    );
}

#[test]
fn bad_unit() {
    let text = format!("{VALID}\n[proxy]\nslot_hold = \"500\"\n");
    assert_refused("unit", &text, &["slot_hold", "'500'", "250ms"]);
}

#[test]
fn short_secret() {
    let text = VALID.replace("0123456789abcdef", "short");
    assert_refused("secret", &text, &["fleet_secret", "5 bytes", "at least 16"]);
}

#[test]
fn same_address() {
    let text = VALID.replace("127.0.0.1:7002", "127.0.0.1:7001");
    assert_refused(
        "address",
        &text,
        &["listen.peers", "127.0.0.1:7001", "of its own"],
    );
}

#[test]
fn more_connections_than_half_of_the_descriptors() {
    let text = format!("{VALID}\n[proxy]\nmax_connections = 4000000000\n");
    let words = [
        "proxy.max_connections",
        "4000000000",
        "half of the descriptors",
    ];
    assert_refused("connections", &text, &words);
}

#[test]
fn no_connections() {
    let text = format!("{VALID}\n[proxy]\nmax_connections = 0\n");
    assert_refused(
        "none",
        &text,
        &["proxy.max_connections", "'0'", "at least 1"],
    );
}

#[test]
fn little_connection_memory() {
    let text = format!("{VALID}\n[proxy]\nconnection_memory = \"64KiB\"\n");
    assert_refused(
        "memory",
        &text,
        &["proxy.connection_memory", "64KiB", "at least 1MiB"],
    );
}

#[test]
fn missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_wagtailtrackd"))
        .args(["--config", "/nonexistent.toml"])
        .output()
        .unwrap();
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains("/nonexistent.toml") && message.contains("--config"),
        "{message}"
    );
}

#[test]
fn port_in_use() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = VALID.replace("127.0.0.1:7003", &address);
    let text = text.replace("127.0.0.1:70", "127.77.77.77:170");
    let words = ["listen.admin", &address, "address of this VM that is free"];
    assert_refused("taken", &text, &words);
}
