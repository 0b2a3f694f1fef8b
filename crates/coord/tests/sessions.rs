//! Whole scenarios on simulated instances, whose logs are compared with golden files.

mod net;

use coord::{
    event::Event,
    message::{Body, Job},
};
use net::{Net, SERVICE};

fn started_zone() -> Net {
    let mut net = Net::new(&[("west", 3)], 3);
    net.run_until_ready(6_000);
    net.change(0, 1, None, SERVICE);
    net.run(400);
    net.announce(0, "u1", 6);
    net.run(400);
    net
}

fn assert_golden(name: &str, net: &Net) {
    net.check_invariants();
    insta::assert_snapshot!(name, net.log.join("\n"));
}

#[test]
fn owner_dies() {
    let mut net = started_zone();
    let job = net.new_job_id("west");
    net.submit(0, &job, 4, 8_000);
    net.run(100);
    net.finish(0, true);
    net.crash(0);
    net.submit(1, &job, 4, 8_000);
    net.run(3_000);
    net.submit(2, &job, 4, 8_000);
    net.run(200);
    assert_golden("owner_dies", &net);
}

#[test]
fn owner_frozen() {
    let mut net = started_zone();
    let job = net.new_job_id("west");
    net.submit(0, &job, 12, 8_000);
    net.run(100);
    net.set_frozen(0, true);
    net.submit(1, &job, 12, 8_000);
    net.run(3_000);
    net.set_frozen(0, false);
    // The answers of its tasks arrive. It starts no further task and is admitted again.
    net.finish_all();
    net.run(1_000);
    assert_golden("owner_frozen", &net);
}

#[test]
fn leader_isolated() {
    let mut net = started_zone();
    let job = net.new_job_id("west");
    let leader = (0..3).find(|at| {
        let core = net.hosts[*at].core.as_ref().unwrap();
        core.journal_leader().starts_with(core.status(net.now()).instance.as_str())
    });
    let leader = leader.unwrap();
    net.set_isolated(leader, true);
    net.submit(leader, &job, 2, 8_000);
    net.run(1_000);
    // The same submission at an instance of the majority.
    net.submit((leader + 1) % 3, &job, 2, 8_000);
    net.run(1_000);
    net.finish_all();
    net.run(1_000);
    net.heal();
    net.run(3_000);
    assert_golden("leader_isolated", &net);
}

#[test]
fn memory_lost() {
    let mut net = started_zone();
    let job = net.new_job_id("west");
    net.submit(0, &job, 1, 8_000);
    net.run(100);
    net.finish(0, true);
    net.run(100);
    net.restart_all();
    net.run_until_ready(6_000);
    net.announce(0, "u1", 6);
    net.submit(1, &job, 1, 8_000);
    net.run(200);
    assert_golden("memory_lost", &net);
}

#[test]
fn operators_race() {
    let mut net = started_zone();
    // Changes with the same base version at different instances, then a leader that crashes before
    // it answers.
    net.change(0, 11, Some(1), "ireland");
    net.change(1, 12, Some(1), "ireland");
    net.change(2, 13, Some(1), "ireland");
    net.run(300);
    net.change(0, 14, None, "ireland");
    net.settle();
    net.crash(0);
    net.change(1, 14, None, "ireland");
    net.run(5_000);
    net.change(2, 14, None, "ireland");
    net.change(2, 12, Some(1), "ireland");
    net.run(200);
    net.check_changes();
    assert_golden("operators_race", &net);
}

#[test]
fn disk_lost_twice() {
    let mut net = started_zone();
    net.change(0, 21, None, "ireland");
    net.run(300);
    net.lose_disk(1);
    net.run(500);
    net.restart(1);
    net.run(3_000);
    // Immediately after the repair, the next voter loses its disk.
    net.lose_disk(2);
    net.change(1, 22, None, "ireland");
    net.run(4_000);
    net.restart(2);
    net.run(3_000);
    net.check_changes();
    assert_golden("disk_lost_twice", &net);
}

#[test]
fn unsynced_change() {
    let mut net = started_zone();
    // Messages are delivered but disks do not sync: the change is not acknowledged. Then all
    // instances crash.
    net.change(0, 31, None, "ireland");
    for _ in 0..20 {
        net.tick();
        while !net.in_transit.is_empty() {
            net.deliver(0);
        }
    }
    assert!(net.accepted.len() == 1, "only the change that adds the service is acknowledged");
    net.restart_all();
    net.run(4_000);
    net.run_until_ready(4_000);
    net.check_changes();
    // With two of three disks synced, the change is acknowledged.
    net.change(0, 32, None, "ireland");
    for _ in 0..20 {
        net.tick();
        while !net.in_transit.is_empty() {
            net.deliver(0);
        }
        net.sync(0);
        net.sync(1);
    }
    assert!(net.accepted.len() == 2);
    net.restart_all();
    net.run(4_000);
    net.run_until_ready(4_000);
    net.check_changes();
    assert_golden("unsynced_change", &net);
}

#[test]
fn forwarded_twice() {
    let mut net = Net::new(&[("west", 2), ("mid", 1)], 3);
    net.run_until_ready(6_000);
    net.change(0, 1, None, SERVICE);
    net.run(400);
    net.announce(0, "u1", 4);
    net.run(400);
    let job = net.new_job_id("west");
    net.submit(2, &job, 1, 8_000);
    // The submission to west-1 is delayed. The next instance to receive it, west-2, is draining and
    // refuses it.
    let delayed = net
        .in_transit
        .iter()
        .position(|envelope| matches!(envelope.body, Body::Job(Job::Forward { .. })));
    let delayed = net.in_transit.remove(delayed.unwrap());
    assert_eq!(net.instances[delayed.to].name.as_str(), "west-1");
    net.handle(1, Event::Drain);
    net.set_cut(0, 2, true);
    net.run(2_000);
    net.heal();
    net.announce(0, "u1", 4);
    net.in_transit.push(delayed);
    net.settle();
    net.finish_all();
    net.run(300);
    assert_golden("forwarded_twice", &net);
}

#[test]
fn loan_of_former_life() {
    let mut net = started_zone();
    let job = net.new_job_id("west");
    net.submit(1, &job, 6, 8_000);
    net.run(200);
    let lent = |net: &Net| net.hosts[0].core.as_ref().unwrap().fleet().loans().lent(&"u1".into());
    assert!(lent(&net) > 0);
    net.crash(1);
    net.restart(1);
    net.run(3_000);
    assert_eq!(lent(&net), 0, "the loan ends long before it would expire");
}

#[test]
fn adopted_directly() {
    let mut net = started_zone();
    let old = net.new_job_id("west");
    net.submit(0, &old, 1, 8_000);
    net.run(100);
    net.finish(0, true);
    net.set_isolated(0, true);
    // The other two restart without state and form a new journal of the zone.
    for at in [1, 2] {
        net.crash(at);
        net.restart(at);
    }
    net.run(4_000);
    net.heal();
    // Only consensus messages of the new leader, no formation messages, reach the third instance.
    for _ in 0..200 {
        net.tick();
        net.in_transit
            .retain(|envelope| envelope.to != 0 || !matches!(envelope.body, Body::Form(..)));
        while !net.in_transit.is_empty() {
            net.deliver(0);
            net.in_transit
                .retain(|envelope| envelope.to != 0 || !matches!(envelope.body, Body::Form(..)));
        }
    }
    for at in 0..3 {
        let core = net.hosts[at].core.as_ref().unwrap();
        assert_eq!(core.members().len(), 3, "{}", net.groups());
    }
    net.submit(0, &old, 1, 8_000);
    let fresh = net.new_job_id("west");
    net.announce(0, "u1", 6);
    net.submit(0, &fresh, 1, 8_000);
    net.run(300);
    net.finish(0, true);
    net.run(300);
    assert_golden("adopted_directly", &net);
}
