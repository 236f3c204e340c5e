//! What of a client's input goes on to the server: one request at a time, and of a body what its handler
//! reads.

use std::ops::Range;

use arbtest::arbtest;
use wagtailtrack::http::{BodyFraming, RequestGate};

const HEAD: &[u8] = b"GET /lookups/1 HTTP/1.1\r\nhost: x\r\n\r\n";
const CHUNKS: &[u8] = b"5;a=b\r\nhello\r\n1 \r\n!\r\nA\r\n0123456789\r\n0\r\nx-t: 1\r\n\r\n";
/// The most of a body that may wait to be read, in bytes.
const WINDOW: usize = 64 * 1024;
const SEEDS: Range<u64> = 0..200;

/// A gate whose server has begun a request with the body `framing`.
fn begun(framing: BodyFraming) -> RequestGate {
    let mut gate = RequestGate::default();
    assert_eq!(gate.admit(HEAD), HEAD.len());
    gate.begin_request(framing);
    gate
}

/// Gives `bytes` to the gate in parts of the lengths that `length` returns. Returns how many went on.
fn admit_parts(
    gate: &mut RequestGate,
    bytes: &[u8],
    mut length: impl FnMut(usize) -> usize,
) -> usize {
    let mut sent = 0;
    while sent < bytes.len() {
        let part = length(bytes.len() - sent);
        let taken = gate.admit(&bytes[sent..sent + part]);
        sent += taken;
        if taken < part {
            break;
        }
        gate.drain_body();
    }
    sent
}

#[test]
fn one_request_at_a_time() {
    let both = [HEAD, HEAD].concat();
    let mut gate = RequestGate::default();
    assert_eq!(gate.admit(&both), HEAD.len());
    assert_eq!(gate.admit(HEAD), 0, "before the server has begun the first");
    gate.begin_request(BodyFraming::Empty);
    assert_eq!(gate.admit(HEAD), 0, "before the response is sent");
    gate.finish_response();
    assert_eq!(gate.admit(HEAD), HEAD.len());
}

/// Guards against an end of a head or body that is not found where it arrives in parts.
#[test]
fn ends_found_in_any_parts() {
    for seed in SEEDS {
        arbtest(|u| {
            let input = [HEAD, CHUNKS, HEAD].concat();
            let mut gate = RequestGate::default();
            let mut length = |most: usize| u.int_in_range(1..=most).unwrap_or(most);
            let head = admit_parts(&mut gate, &input, &mut length);
            assert_eq!(head, HEAD.len());
            gate.begin_request(BodyFraming::Chunked);
            let body = admit_parts(&mut gate, &input[head..], &mut length);
            assert_eq!(body, CHUNKS.len());
            gate.finish_response();
            assert!(gate.is_open());
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn heads_with_odd_lines() {
    for head in [
        &b"\r\n\r\nGET / HTTP/1.1\r\n\r\n"[..],
        b"\nGET / HTTP/1.1\nhost: x\n\n",
        b"GET / HTTP/1.1\nhost: x\r\n\n",
    ] {
        let both = [head, HEAD].concat();
        assert_eq!(RequestGate::default().admit(&both), head.len());
    }
}

#[test]
fn sized_body_ends() {
    let mut gate = begun(BodyFraming::Sized(4));
    assert_eq!(gate.admit(b"bo"), 2);
    assert_eq!(gate.admit(b"dyGET / HTTP/1.1"), 2);
    assert!(!gate.is_open());
    gate.finish_response();
    assert!(gate.is_open());
}

/// Guards against a request that begins before the body of the last one has ended, where the response came
/// first.
#[test]
fn response_before_body() {
    let mut gate = begun(BodyFraming::Chunked);
    gate.discard_body();
    gate.finish_response();
    let rest = [CHUNKS, HEAD, HEAD].concat();
    assert_eq!(gate.admit(&rest), CHUNKS.len());
    assert_eq!(gate.admit(&rest[CHUNKS.len()..]), HEAD.len());
}

#[test]
fn unread_body_waits() {
    for framing in [BodyFraming::Sized(1_000_000), BodyFraming::Unframed] {
        let mut gate = begun(framing);
        assert_eq!(gate.admit(&[0; 2 * WINDOW]), WINDOW);
        assert_eq!(gate.admit(&[0; 1]), 0);
        gate.drain_body();
        assert_eq!(gate.admit(&[0; 1]), 1);
    }
}

/// Guards against parts of a body that take far more memory than their bytes.
#[test]
fn unread_chunks_wait() {
    let mut gate = begun(BodyFraming::Chunked);
    let chunks = b"1\r\nx\r\n".repeat(1_000);
    let taken = gate.admit(&chunks);
    assert!(taken <= 512 * 6, "{taken}");
    assert!(!gate.is_open());
    gate.drain_body();
    assert!(gate.admit(&chunks[taken..]) > 0);
}

#[test]
fn discarded_body_needs_no_window() {
    let mut gate = begun(BodyFraming::Sized(1_000_000));
    gate.discard_body();
    assert_eq!(gate.admit(&[0; 2 * WINDOW]), 2 * WINDOW);
}
