//! Messages from other instances: decoding arbitrary bytes does not panic, and neither does
//! handling any message that decodes.

mod net;

use coord::{
    event::Event,
    machine,
    message::{Body, FormMessage, Formation, Group, Job, Loan, Raft, Route, Table},
};
use net::Net;
use proptest::prelude::*;

fn samples() -> Vec<Body> {
    let formation = Formation { at: 7, by: 1 };
    let route = Route { formation, from: 1, to: 4 };
    let zone = Group::Journal("west".into());
    let job = net::new_job_id("west", net::EPOCH, 1);
    let vote = Raft::Vote { term: u64::MAX, last: 3, last_term: 2, pre: false };
    let appended =
        Raft::Appended { term: 1, success: true, index: u64::MAX, sent: u64::MAX, stamp: 1 };
    vec![
        Body::Form(Group::Settings, 3, FormMessage::Ask(formation)),
        Body::Raft(zone.clone(), route, vote),
        Body::Raft(zone.clone(), route, appended),
        Body::Propose(zone, route, "junk".into()),
        Body::Job(Job::Forward { call: 1, spec: net::spec(&job, 2, 100) }),
        Body::Job(Job::Execute { call: 1, spec: net::spec(&job, 2, 100) }),
        Body::Job(Job::Await { call: 1, job, wait: true }),
        Body::Table(Table::Renewed(vec![(1, u64::MAX, u32::MAX)])),
        Body::Table(Table::Settings("junk".into())),
        Body::Loan(Loan::Ask {
            service: "a".into(),
            count: u32::MAX,
            number: 1,
            borrowed: u32::MAX,
        }),
        Body::Ping(true),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn any_bytes(
        sample in 0..11_usize,
        at in any::<usize>(),
        byte in any::<u8>(),
        edits in 0..4_usize,
    ) {
        let mut bytes = machine::encode(&samples()[sample]).to_vec();
        for edit in 0..edits {
            let at = at.wrapping_mul(edit + 1) % bytes.len();
            bytes[at] = byte.wrapping_add(edit as u8);
        }
        if let Ok(body) = postcard::from_bytes::<Body>(&bytes) {
            let mut net = Net::new(&[("west", 3)], 3);
            net.run_until_ready(6_000);
            net.handle(0, Event::Peer("west-2".into(), body));
            net.tick();
        }
    }
}
