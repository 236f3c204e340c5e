//! Strangers on the listener for other daemons.

mod common;
mod crowd_kit;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use crowd_kit::{CrowdDesk, CrowdInput};

/// Guards against streams of strangers whose first message never ends.
#[actix_rt::test]
async fn unfinished_messages_to_peers() {
    let mut desk = CrowdDesk::open("crowd-messages").await;
    let peers = desk.desk.fleet.daemons[0].peers();
    let senders: Vec<_> = (0..4).map(|_| spawn_unfinished_streams(peers)).collect();
    for sender in senders {
        sender.join().unwrap();
    }
    desk.check_bounds();
    let crowd = desk.press(peers, 1, &CrowdInput::once("")).await;
    desk.check(crowd).await;
}

/// Sends, on one connection of HTTP/2, streams with the start of a message of 4 MiB that never ends.
fn spawn_unfinished_streams(peers: SocketAddr) -> std::thread::JoinHandle<()> {
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const ACK: u8 = 1;
    const END_HEADERS: u8 = 4;
    const STREAMS: u32 = 256;
    const FRAME: usize = 16 * 1024;
    const FRAMES: usize = 15;
    std::thread::spawn(move || {
        let mut socket = TcpStream::connect(peers).unwrap();
        let timeout = Some(std::time::Duration::from_secs(5));
        socket.set_write_timeout(timeout).unwrap();
        let mut hello = *b"wagtail1nonce-of-a-stranger-zzz1";
        socket.write_all(&hello).unwrap();
        if socket.read_exact(&mut hello).is_err() {
            return;
        }
        let mut preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        preface.extend_from_slice(&frame_head(0, SETTINGS, 0, 0));
        socket.write_all(&preface).unwrap();
        // Windows are as the server's settings say from the acknowledgement on.
        let mut settings = [0; 21];
        if socket.read_exact(&mut settings).is_err() {
            return;
        }
        let mut reading = socket.try_clone().unwrap();
        // The responses and window updates are read and dropped.
        std::thread::spawn(move || std::io::copy(&mut reading, &mut std::io::sink()));
        let mut bytes = frame_head(0, SETTINGS, ACK, 0).to_vec();
        for stream in (0..STREAMS).map(|index| 2 * index + 1) {
            // HPACK: method POST, scheme http, path /, authority x.
            let headers = [0x83, 0x86, 0x84, 0x41, 0x01, b'x'];
            bytes.extend_from_slice(&frame_head(headers.len(), HEADERS, END_HEADERS, stream));
            bytes.extend_from_slice(&headers);
            for number in 0..FRAMES {
                let mut data = vec![0; FRAME];
                if number == 0 {
                    data[..4].copy_from_slice(&(4_u32 * 1024 * 1024).to_le_bytes());
                }
                bytes.extend_from_slice(&frame_head(FRAME, DATA, 0, stream));
                bytes.extend_from_slice(&data);
            }
        }
        // A daemon that ends the connection passes the test.
        let _ = socket.write_all(&bytes);
        std::thread::sleep(std::time::Duration::from_secs(1));
    })
}

fn frame_head(length: usize, kind: u8, flags: u8, stream: u32) -> [u8; 9] {
    let [_, high, middle, low] = u32::try_from(length).unwrap().to_be_bytes();
    let [a, b, c, d] = stream.to_be_bytes();
    [high, middle, low, kind, flags, a, b, c, d]
}
