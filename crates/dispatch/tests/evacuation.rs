//! Evacuated zones: no task starts there until the evacuation is reverted, whichever keeper
//! received the order and whatever is lost in the meantime.

mod world;

use coord::group::Machine as _;
use dispatch::{
    control_log::Machine,
    evacuation::{Evacuations, Order, Outcome},
    event::Reply,
    job::{Refusal, Verdict},
    message::Document,
};
use world::{World, zone_name};

/// Indices of the three zones' keepers among the simulated instances.
const KEEPERS: [usize; 3] = [0, 3, 6];
/// The time after which an order is in force in all zones, milliseconds: three heartbeats.
const IN_FORCE: u64 = 450;

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 2, 8);
    world.run(3_000);
    world
}

/// Submits jobs in all zones for `ms` milliseconds, one every `interval` milliseconds.
fn submit_load(world: &mut World, ms: u64, interval: u64) {
    for at in 0..ms / interval {
        let (count, length) = [(8, 60), (2, 200), (4, 900)][at as usize % 3];
        world.submit(at as usize % 3, count, 14_000, length);
        world.run(interval);
    }
}

/// Evacuates a zone, or reverts its evacuation, at a keeper. Returns the reply after 300 ms, if
/// any.
fn send_order(world: &mut World, keeper: usize, zone: usize, evacuated: bool) -> Option<Reply> {
    let ticket = world.evacuate(keeper, zone, evacuated);
    world.run(300);
    world.reply(ticket).cloned()
}

/// Evacuates zone 1 at the first keeper and returns as soon as the order is acknowledged.
fn evacuate_acknowledged(world: &mut World, seed: u64) {
    let ticket = world.evacuate(KEEPERS[0], 1, true);
    while world.reply(ticket).is_none() {
        world.run(5);
    }
    assert_eq!(world.reply(ticket), Some(&Reply::Noted), "seed {seed}");
}

/// Returns the zones in which a task was started in the last `ms` milliseconds.
fn recently_started(world: &World, ms: u64) -> Vec<usize> {
    (0..3).filter(|zone| world.last_start(*zone) + ms * 1_000 > world.now).collect()
}

#[test]
fn started_elsewhere() {
    let mut world = started_world(1);
    submit_load(&mut world, 600, 40);
    for (keeper, zone) in [(0, 1), (3, 1), (6, 2)] {
        assert_eq!(send_order(&mut world, keeper, zone, true), Some(Reply::Noted));
        submit_load(&mut world, 1_500, 60);
        assert!(!recently_started(&world, 1_500 - IN_FORCE).contains(&zone), "by {keeper}");
        assert_eq!(send_order(&mut world, keeper, zone, false), Some(Reply::Noted));
        submit_load(&mut world, 1_500, 40);
        assert_eq!(recently_started(&world, 600), [0, 1, 2], "reverted by {keeper}");
    }
    world.run(4_000);
    assert_eq!(world.faults, Vec::<String>::new());
    let (good, all) = world.count_in_time();
    assert_eq!(world.count_complete(), all);
    assert!(good * 100 >= all * 97, "{good} of {all} in time");
}

#[test]
fn runs_end() {
    // Running tasks finish where they run, and each task runs only once.
    let mut world = started_world(2);
    let jobs: Vec<_> = (0..6).map(|_| world.submit(1, 2, 14_000, 900)).collect();
    world.run(100);
    assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
    world.run(1_500);
    assert_eq!(world.count_complete(), jobs.len());
    assert!(world.start_counts.values().all(|count| *count == 1), "{:?}", world.start_counts);
}

#[test]
fn queue_moves() {
    // All zones are full. Tasks that wait in the evacuated zone run in other zones.
    for seed in 0..10 {
        let mut world = started_world(seed);
        for _ in 0..3 {
            for zone in 0..3 {
                world.submit(zone, 8, 14_000, 400);
            }
        }
        world.run(50);
        assert_eq!(send_order(&mut world, 6, 0, true), Some(Reply::Noted));
        world.run(3_000);
        assert_eq!(world.count_complete(), 9, "seed {seed}");
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn burst_meets_order() {
    // Jobs arrive at one and a half times the capacity while the order is given. Answers may be
    // late, but each job gets one.
    for seed in 0..10 {
        let mut world = started_world(seed);
        submit_load(&mut world, 400, 15);
        let ticket = world.evacuate(3, 2, true);
        submit_load(&mut world, 1_000, 15);
        assert_eq!(world.reply(ticket), Some(&Reply::Noted));
        assert!(!recently_started(&world, 1_000 - IN_FORCE).contains(&2), "seed {seed}");
        world.run(5_000);
        assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        let verdicts = world.requests.values().filter(|request| request.verdict.is_some());
        assert_eq!(verdicts.count(), world.requests.len(), "seed {seed}");
    }
}

#[test]
fn all_evacuated() {
    let mut world = started_world(3);
    for zone in 0..3 {
        assert_eq!(send_order(&mut world, 0, zone, true), Some(Reply::Noted));
    }
    world.run(IN_FORCE);
    let job = world.submit(0, 2, 14_000, 60);
    world.run(20);
    let verdict = world.requests[&job].verdict.as_ref().map(|(verdict, _)| verdict);
    assert_eq!(verdict, Some(&Verdict::NotRun(Refusal::Evacuated)));
}

#[test]
fn cut_off_clients() {
    // An evacuated zone is cut off for longer than it takes to replace a scheduler. Its clients are
    // refused immediately, without waiting.
    let mut world = started_world(11);
    assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
    world.set_zone_cut(1, true);
    world.run(3_000);
    let job = world.submit(1, 2, 14_000, 60);
    world.run(50);
    let verdict = world.requests[&job].verdict.as_ref().map(|(verdict, _)| verdict);
    assert_eq!(verdict, Some(&Verdict::NotRun(Refusal::NoScheduler)));
    world.set_zone_cut(1, false);
    world.run(1_000);
    let job = world.submit(1, 2, 14_000, 60);
    world.run(300);
    let verdict = world.requests[&job].verdict.as_ref().map(|(verdict, _)| verdict);
    assert_eq!(verdict, Some(&Verdict::Complete));
}

#[test]
fn steps_stay_together() {
    // A job of two steps moves to another zone as a whole. If a task of it has already started, the
    // scheduler gives the job up.
    let mut world = started_world(8);
    let started = world.submit_steps(1, 14_000, 300);
    world.run(100);
    assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
    world.run(IN_FORCE);
    let fresh = world.submit_steps(1, 14_000, 300);
    world.run(1_500);
    let verdict = |id| world.requests[id].verdict.as_ref().map(|(verdict, _)| verdict.clone());
    assert_eq!(verdict(&started), Some(Verdict::GaveUp));
    assert_eq!(verdict(&fresh), Some(Verdict::Complete));
}

#[test]
fn sent_again() {
    let mut world = started_world(4);
    let tickets: Vec<_> = KEEPERS
        .iter()
        .flat_map(|keeper| [*keeper; 2])
        .map(|k| world.evacuate(k, 1, true))
        .collect();
    world.run(300);
    for ticket in tickets {
        assert_eq!(world.reply(ticket), Some(&Reply::Noted));
    }
    let revision = |world: &World, at: usize| {
        world.instances[at].core.as_ref().map(|core| core.evacuations().revision)
    };
    assert_eq!(revision(&world, 3), Some(1));
    // Two operators send orders at the same time: both orders are acknowledged, and all instances
    // agree on the evacuated zones.
    for keeper in KEEPERS {
        let one = world.evacuate(keeper, 1, false);
        let other = world.evacuate((keeper + 3) % 9, 2, true);
        world.run(600);
        assert_eq!(world.reply(one), Some(&Reply::Noted));
        assert_eq!(world.reply(other), Some(&Reply::Noted));
    }
    for at in 0..world.instances.len() {
        let zones = world.instances[at].core.as_ref().map(|core| core.evacuations().names());
        assert_eq!(zones.as_deref(), Some(zone_name(2).as_str()), "instance {at}");
    }
}

#[test]
fn late_copy() {
    // A copy of an evacuation order that arrives after the evacuation was reverted has no effect.
    let mut evacuations = Evacuations::default();
    let order = |evacuated, base| Order { zone: zone_name(1), evacuated, base };
    assert_eq!(evacuations.apply(&order(true, 0)), Outcome::InForce);
    assert_eq!(evacuations.apply(&order(true, 0)), Outcome::InForce, "a second copy");
    assert_eq!(evacuations.apply(&order(false, 1)), Outcome::InForce);
    assert_eq!(evacuations.apply(&order(true, 0)), Outcome::Stale);
    assert!(!evacuations.has(&zone_name(1)));
    assert_eq!(evacuations.revision, 2);
}

/// Guards against a proposal that reaches the leader late and undoes a later order for the state
/// that the zone already had.
#[test]
fn late_proposal() {
    let mut evacuations = Evacuations::default();
    let order = |evacuated, base| Order { zone: zone_name(1), evacuated, base };
    assert_eq!(evacuations.apply_on_base(&order(true, 0)), Outcome::InForce);
    assert_eq!(evacuations.apply_on_base(&order(true, 1)), Outcome::InForce);
    assert_eq!(evacuations.apply_on_base(&order(false, 1)), Outcome::Stale);
    assert!(evacuations.has(&zone_name(1)));
    assert_eq!(evacuations.apply_on_base(&order(false, 2)), Outcome::InForce);
    assert!(!evacuations.has(&zone_name(1)));
}

/// Guards against an order that waited in the sockets of a stopped keeper and undoes a later one:
/// its sender is asked again, and nobody answers.
#[test]
fn order_after_stop() {
    let mut world = started_world(12);
    assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
    world.freeze(6);
    world.run(1_500);
    assert_eq!(send_order(&mut world, 3, 1, false), Some(Reply::Noted));
    assert_eq!(send_order(&mut world, 3, 1, true), Some(Reply::Noted));
    world.run(3_000);
    world.unfreeze(6);
    let waited = world.deliver_order(6, 1, false, None);
    world.run(1_000);
    assert!(matches!(world.reply(waited), Some(Reply::Challenge(_))));
    let evacuated = |world: &World| {
        world.instances[3].core.as_ref().map(|core| core.evacuations().has(&zone_name(1)))
    };
    assert_eq!(evacuated(&world), Some(true));
    // A sender that still waits is served at once.
    assert_eq!(send_order(&mut world, 6, 1, false), Some(Reply::Noted));
    assert_eq!(evacuated(&world), Some(false));
}

/// Guards against an order that waits at a cut-off keeper and undoes a later one.
#[test]
fn overtaken_order() {
    for seed in 0..10 {
        let mut world = started_world(seed);
        assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted), "seed {seed}");
        world.set_zone_cut(2, true);
        let waiting = world.evacuate(6, 1, false);
        let replies = [false, true].map(|evacuated| {
            let ticket = world.evacuate(3, 1, evacuated);
            world.run(150);
            world.reply(ticket).cloned()
        });
        world.set_zone_cut(2, false);
        world.run(1_500);
        let has = |at: usize| {
            let core = world.instances[at].core.as_ref();
            core.is_some_and(|core| core.evacuations().has(&zone_name(1)))
        };
        // Without the cut-off keeper, which may lead, the other orders may fail.
        if replies == [Some(Reply::Noted), Some(Reply::Noted)] {
            assert_eq!(world.reply(waiting), Some(&Reply::Unavailable), "seed {seed}");
            assert!(KEEPERS.into_iter().all(has), "seed {seed}");
        }
    }
}

/// Guards against copies that were given up, wherever they waited and in whatever order they are
/// read: none changes anything, neither after an order that changed the zone nor after one that
/// asked for its present state.
#[test]
fn given_up_copies() {
    for (seed, evacuated) in (0..10).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut world = started_world(seed);
        assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted), "seed {seed}");
        if evacuated {
            assert_eq!(send_order(&mut world, 3, 1, false), Some(Reply::Noted), "seed {seed}");
        }
        for keeper in [0, 3, 6, 6, 3, 0] {
            let copy = world.deliver_order(keeper, 1, evacuated, None);
            world.run(u64::from(seed as u32) * 70);
            assert!(matches!(world.reply(copy), Some(Reply::Challenge(_))), "seed {seed}");
        }
        world.run(IN_FORCE);
        for keeper in KEEPERS {
            let core = world.instances[keeper].core.as_ref();
            let has = core.map(|core| core.evacuations().has(&zone_name(1)));
            assert_eq!(has, Some(!evacuated), "seed {seed}, keeper {keeper}");
        }
    }
}

/// Guards against a copy that meets a challenge after a later order took effect.
#[test]
fn met_too_late() {
    for present in [false, true] {
        let mut world = started_world(13);
        assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
        let asked = world.deliver_order(6, 1, false, None);
        let Some(Reply::Challenge(number)) = world.reply(asked) else { panic!("no challenge") };
        let number = *number;
        // The sender reads the challenge, but its next copy is given up on its way.
        world.read_challenge(6, asked);
        world.run(100);
        if !present {
            assert_eq!(send_order(&mut world, 3, 1, false), Some(Reply::Noted));
        }
        assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
        for (keeper, challenge) in [(6, Some(number)), (6, None), (3, None), (0, None)] {
            let copy = world.deliver_order(keeper, 1, false, challenge);
            world.run(300);
            let reply = world.reply(copy);
            assert!(matches!(reply, Some(Reply::Challenge(_))), "{present}, {keeper}: {reply:?}");
        }
        let core = world.instances[3].core.as_ref();
        assert_eq!(core.map(|core| core.evacuations().has(&zone_name(1))), Some(true));
    }
}

/// A sender that follows no redirects repeats its order at any keeper once it has read a challenge.
#[test]
fn repeated_elsewhere() {
    for keeper in KEEPERS {
        let mut world = started_world(14);
        let asked = world.deliver_order(0, 1, true, None);
        let early = world.deliver_order(keeper, 1, true, None);
        world.run(50);
        assert!(matches!(world.reply(early), Some(Reply::Challenge(_))), "the first was not read");
        world.read_challenge(0, asked);
        world.run(50);
        let again = world.deliver_order(keeper, 1, true, None);
        world.run(300);
        assert_eq!(world.reply(again), Some(&Reply::Noted), "at {keeper}");
    }
}

/// Guards against a challenge that is met long after its sender can have given its order up.
#[test]
fn challenge_expires() {
    let mut world = started_world(15);
    let asked = world.deliver_order(0, 1, true, None);
    let Some(Reply::Challenge(number)) = world.reply(asked) else { panic!("no challenge") };
    let number = *number;
    world.read_challenge(0, asked);
    world.run(3_100);
    for (keeper, challenge) in [(0, Some(number)), (0, None), (3, None)] {
        let copy = world.deliver_order(keeper, 1, true, challenge);
        world.run(300);
        assert!(matches!(world.reply(copy), Some(Reply::Challenge(_))), "at {keeper}");
    }
}

/// Eight operators evacuate and take back zones at once; each is acknowledged, at the latest when
/// it sends its order again.
#[test]
fn orders_at_once() {
    let mut world = started_world(16);
    for round in 0..4 {
        let mut open: Vec<_> = (0..8).map(|at| (KEEPERS[at % 3], at % 3, round % 2 == 0)).collect();
        for _ in 0..5 {
            let tickets: Vec<_> = open
                .iter()
                .map(|(keeper, zone, evacuated)| world.evacuate(*keeper, *zone, *evacuated))
                .collect();
            world.run(1_000);
            let mut acknowledged =
                tickets.iter().map(|ticket| world.reply(*ticket) == Some(&Reply::Noted));
            open.retain(|_| !acknowledged.next().unwrap_or(false));
        }
        assert_eq!(open, [], "round {round}");
    }
}

#[test]
fn lagging_keeper() {
    // A keeper that was cut off while the zone was evacuated can revert the evacuation after the
    // partition heals.
    let mut world = started_world(5);
    world.set_zone_cut(2, true);
    world.run(1_500);
    assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
    world.set_zone_cut(2, false);
    let ticket = world.evacuate(6, 1, false);
    world.run(900);
    match world.reply(ticket) {
        Some(Reply::Noted) => {}
        // The keeper did not learn of a leader in time, so it replies `Unavailable`.
        Some(Reply::Unavailable) => {
            assert_eq!(send_order(&mut world, 6, 1, false), Some(Reply::Noted));
        }
        other => panic!("{other:?}"),
    }
    world.run(IN_FORCE);
    for instance in &world.instances {
        assert_eq!(instance.core.as_ref().map(|core| core.evacuations().zones.len()), Some(0));
    }
}

#[test]
fn minority_cannot_order() {
    let mut world = started_world(6);
    world.set_zone_cut(0, true);
    world.run(2_000);
    let ticket = world.evacuate(0, 1, true);
    world.run(1_000);
    assert_eq!(world.reply(ticket), Some(&Reply::Unavailable));
}

#[test]
fn unknown_zone() {
    let mut world = started_world(7);
    assert_eq!(send_order(&mut world, 0, 9, true), Some(Reply::NoZone));
    assert_eq!(send_order(&mut world, 0, 9, false), Some(Reply::NoZone));
}

#[test]
fn scheduler_lost() {
    // The keeper that schedules the zone, or the one that acknowledged the order, is lost
    // immediately afterwards.
    for seed in 0..10 {
        for lost in [0, 3] {
            let mut world = started_world(seed);
            submit_load(&mut world, 300, 30);
            evacuate_acknowledged(&mut world, seed);
            world.kill(lost);
            submit_load(&mut world, 3_000, 60);
            assert!(
                !recently_started(&world, 3_000 - IN_FORCE).contains(&1),
                "seed {seed}, lost {lost}"
            );
            world.start(lost);
            submit_load(&mut world, 2_000, 60);
            assert!(
                !recently_started(&world, 2_000).contains(&1),
                "seed {seed}, lost {lost} has restarted"
            );
            world.run(4_000);
            assert_eq!(world.faults, Vec::<String>::new(), "seed {seed}");
        }
    }
}

#[test]
fn power_lost() {
    // All instances lose power immediately after the acknowledgement, and one disk is lost.
    for wiped in KEEPERS {
        for seed in 0..5 {
            let mut world = started_world(seed);
            evacuate_acknowledged(&mut world, seed);
            world.lose_disk(wiped);
            (0..world.instances.len()).for_each(|at| world.kill(at));
            world.run(500);
            (0..world.instances.len()).for_each(|at| world.start(at));
            world.run(3_000);
            submit_load(&mut world, 1_000, 60);
            assert!(!recently_started(&world, 1_000).contains(&1), "seed {seed}, lost {wiped}");
            assert!(recently_started(&world, 1_000).contains(&0), "seed {seed}, lost {wiped}");
        }
    }
}

#[test]
fn cut_off_zone() {
    // The zone is cut off while it is evacuated, and learns of the evacuation after the partition
    // heals.
    let mut world = started_world(9);
    world.set_zone_cut(1, true);
    world.run(1_500);
    assert_eq!(send_order(&mut world, 0, 1, true), Some(Reply::Noted));
    submit_load(&mut world, 1_000, 60);
    assert!(
        recently_started(&world, 500).contains(&1),
        "the zone continues with the last evacuations that it knows"
    );
    world.set_zone_cut(1, false);
    world.run(IN_FORCE);
    submit_load(&mut world, 2_000, 60);
    assert!(!recently_started(&world, 2_000 - IN_FORCE).contains(&1));
    world.run(4_000);
    assert_eq!(world.faults, Vec::<String>::new());
}

#[test]
fn former_disk() {
    // Logs and snapshots from versions without evacuations hold only a configuration.
    let document = Document { version: 7, body: "text".into() };
    let mut machine = Machine::default();
    let command = coord::machine::encode(&(1_u64 << 40, document.clone()));
    assert_eq!(machine.apply(&command).len(), 1);
    let state = coord::machine::encode(&(document.clone(), Evacuations::default()));
    assert_eq!(machine.snapshot(), state);
    // Orders of versions that knew no challenges: one for the present state left the revision.
    let order = |evacuated| Order { zone: zone_name(1), evacuated, base: 0 };
    let mut former = Machine::default();
    for evacuated in [true, true] {
        let command = coord::machine::encode(&(1_u32, order(evacuated), 1_u64 << 40));
        assert_eq!(former.apply(&command).len(), 1);
    }
    let zones = Evacuations { revision: 1, zones: [zone_name(1)].into_iter().collect() };
    assert_eq!(former.snapshot(), coord::machine::encode(&(Document::default(), zones)));
    let mut restored = Machine::default();
    restored.restore(&coord::machine::encode(&document));
    assert_eq!(restored.snapshot(), state);
}

#[test]
fn no_disk() {
    let mut world = started_world(10);
    let ticket = world.evacuate(1, 1, true);
    assert_eq!(world.reply(ticket), Some(&Reply::Unavailable));
}
