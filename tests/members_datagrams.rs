//! Rejection of malformed, forged, oversize and truncated datagrams.

mod gossip_net;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use gossip_net::{GossipNet, address, instance, member};
use wagtailtrack::ids::Revision;
use wagtailtrack::members::{DatagramCodec, DatagramError, MAX_DATAGRAM_BYTES};
use wagtailtrack::peers::{FleetKey, MAC_BYTES};
use wagtailtrack::wire::{
    BucketDigest, GossipBody, GossipMessage, InstancePhase, InstanceRecord, MemberRecord,
    MemberState, OwnerDigest,
};

const SECRET: &str = "a secret of the fleet";

fn codec() -> DatagramCodec {
    DatagramCodec::open(FleetKey::open(SECRET))
}

fn message() -> GossipMessage {
    GossipMessage {
        sender: "daemon-0001".parse().unwrap(),
        revision: Revision(7),
        body: GossipBody::Ping(4),
        digest: None,
        members: vec![member(1, 1, 1)],
        instances: vec![instance(1, 0, InstancePhase::Ready)],
    }
}

/// Guards against accepting a datagram that was altered or truncated, or made under another key.
#[test]
fn any_change_detected() {
    let encoded = codec().encode(&message()).unwrap();
    assert_eq!(codec().decode(&encoded), Ok(message()));
    for bit in 0..encoded.len() * 8 {
        let mut changed = encoded.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(codec().decode(&changed), Err(DatagramError::Forged));
    }
    for length in 0..encoded.len() {
        let error = codec().decode(&encoded[..length]).unwrap_err();
        let expected = match length {
            0..MAC_BYTES => DatagramError::Length(length),
            _ => DatagramError::Forged,
        };
        assert_eq!(error, expected);
    }
    let other = DatagramCodec::open(FleetKey::open("another secret, of others"));
    assert_eq!(other.decode(&encoded), Err(DatagramError::Forged));
}

/// Guards against sending or accepting datagrams above the limit, which networks may fragment.
#[test]
fn oversize_refused() {
    let mut large = message();
    large.instances = vec![instance(1, 0, InstancePhase::Ready); 20];
    assert!(matches!(
        codec().encode(&large),
        Err(DatagramError::Length(_))
    ));
    let bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(
        codec().decode(&bytes),
        Err(DatagramError::Length(MAX_DATAGRAM_BYTES + 1))
    );
}

/// Guards against a panic of the decoder on random payloads with a valid MAC, as a faulty peer or
/// one of another version may send them.
#[test]
fn payload_never_panics() {
    let key = FleetKey::open(SECRET);
    for seed in 0..300_u64 {
        arbtest(|source| {
            let payload = source.bytes(source.len().min(900))?;
            let mut datagram = key.mac(&[b"gossip 1", payload]).to_vec();
            datagram.extend_from_slice(payload);
            assert!(!matches!(
                codec().decode(&datagram),
                Err(DatagramError::Forged)
            ));
            Ok(())
        })
        .seed(seed << 32 | (seed * 3));
    }
}

fn random_incarnation(source: &mut Unstructured<'_>) -> Result<u64> {
    match source.int_in_range(0..=9)? {
        0 => Ok(u64::MAX),
        _ => source.arbitrary(),
    }
}

fn random_member(source: &mut Unstructured<'_>) -> Result<MemberRecord> {
    let mut record = member(source.int_in_range(0..=5)?, 1, 1);
    record.boot.0 = source.arbitrary()?;
    record.incarnation.0 = random_incarnation(source)?;
    record.state = match source.int_in_range(0..=3)? {
        0 => MemberState::Alive,
        1 => MemberState::Suspect(member(source.int_in_range(0..=9)?, 1, 1).daemon),
        2 => MemberState::Dead,
        _ => MemberState::Left,
    };
    Ok(record)
}

fn random_instance(source: &mut Unstructured<'_>) -> Result<InstanceRecord> {
    let phase = *source.choose(&[InstancePhase::Ready, InstancePhase::Gone])?;
    let mut record = instance(source.int_in_range(0..=5)?, 0, phase);
    record.daemon = member(source.int_in_range(0..=5)?, 1, 1).daemon;
    record.incarnation.0 = random_incarnation(source)?;
    Ok(record)
}

fn random_body(source: &mut Unstructured<'_>) -> Result<GossipBody> {
    Ok(match source.int_in_range(0..=4)? {
        0 => GossipBody::Ping(source.arbitrary()?),
        1 => GossipBody::Ack(source.arbitrary()?),
        2 => GossipBody::PingRequest {
            probe: source.arbitrary()?,
            target: address(source.int_in_range(0..=5)?),
        },
        3 => GossipBody::Push,
        _ => GossipBody::Summary {
            bucket: random_bucket(source)?,
            owners: (0..source.int_in_range(0..=40)?)
                .map(|_| {
                    let (owner, digest) = (source.arbitrary()?, source.arbitrary()?);
                    Ok(OwnerDigest { owner, digest })
                })
                .collect::<Result<_>>()?,
            wants_reply: source.arbitrary()?,
        },
    })
}

fn random_bucket(source: &mut Unstructured<'_>) -> Result<BucketDigest> {
    Ok(BucketDigest {
        bits: source.arbitrary()?,
        bucket: source.arbitrary()?,
        covers_instances: source.arbitrary()?,
        digest: source.arbitrary()?,
    })
}

/// Guards against a panic, or a daemon that takes itself for dead, after well-formed messages with
/// random contents.
#[test]
fn random_messages_tolerated() {
    for seed in 0..60_u64 {
        arbtest(|source| {
            let mut net = GossipNet::open(3, 1, seed);
            for _ in 0..40 {
                let members = vec![random_member(source)?, random_member(source)?];
                let instances = vec![random_instance(source)?, random_instance(source)?];
                let message = GossipMessage {
                    sender: member(source.int_in_range(0..=5)?, 1, 1).daemon,
                    revision: Revision(source.arbitrary()?),
                    body: random_body(source)?,
                    digest: Some(random_bucket(source)?),
                    members,
                    instances,
                };
                let now = net.now;
                let node = &mut net.nodes[0];
                let from = address(source.int_in_range(1..=2)?);
                let actions = node.core.receive(&message, from, now, &mut node.rng);
                net.carry_out(0, actions);
                net.run(std::time::Duration::from_millis(300));
                let own = net.nodes[0].core.view().own();
                assert_eq!(own.state, MemberState::Alive);
            }
            Ok(())
        })
        .seed(seed << 32 | 16_384);
    }
}
