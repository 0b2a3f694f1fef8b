//! The replicated configuration: the highest version wins, and an acknowledged version is never
//! lost.

mod world;

use dispatch::{
    event::Reply,
    message::Document,
    routing::{Field, Route, RouteError, Routing},
};
use world::World;

/// Indices of the three zones' keepers among the simulated instances.
const KEEPERS: [usize; 3] = [0, 2, 4];

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 1, 1);
    world.run(3_000);
    world
}

fn publish(world: &mut World, at: usize, version: u64, text: &str) -> Option<Reply> {
    let ticket = world.publish(at, version, text);
    world.run(1_000);
    world.reply(ticket).cloned()
}

fn read(world: &mut World, at: usize) -> Option<Reply> {
    let ticket = world.read(at);
    world.run(1_000);
    world.reply(ticket).cloned()
}

fn newest_reply(version: u64, text: &str) -> Reply {
    let body = text.to_owned().into();
    Reply::Newest(Document { version, body })
}

#[test]
fn in_force_everywhere() {
    let mut world = started_world(1);
    for (version, keeper) in [(3, 0), (7, 2), (8, 4)] {
        assert_eq!(publish(&mut world, keeper, version, "text"), Some(Reply::Noted));
        let outdated = world
            .instances
            .iter()
            .filter(|i| i.core.as_ref().is_none_or(|core| core.document().version != version));
        assert_eq!(outdated.count(), 0, "version {version}");
    }
}

#[test]
fn races() {
    let mut world = started_world(2);
    let first = world.publish(KEEPERS[0], 5, "one");
    let second = world.publish(KEEPERS[1], 5, "other");
    world.run(1_000);
    let replies = [world.reply(first).cloned(), world.reply(second).cloned()];
    assert!(replies.contains(&Some(Reply::Noted)) && replies.contains(&Some(Reply::Conflict)));
    let winner = if replies[0] == Some(Reply::Noted) { "one" } else { "other" };
    for keeper in KEEPERS {
        assert_eq!(read(&mut world, keeper), Some(newest_reply(5, winner)));
        assert_eq!(
            publish(&mut world, keeper, 5, winner),
            Some(Reply::Noted),
            "the same version again"
        );
        assert_eq!(publish(&mut world, keeper, 4, "older"), Some(Reply::Noted));
        assert_eq!(
            read(&mut world, keeper),
            Some(newest_reply(5, winner)),
            "an older version has no effect"
        );
    }
}

#[test]
fn answers_logged() {
    let mut world = started_world(2);
    assert_eq!(publish(&mut world, 0, 5, "one"), Some(Reply::Noted));
    assert_eq!(publish(&mut world, 2, 4, "older"), Some(Reply::Noted));
    assert_eq!(publish(&mut world, 4, 5, "other"), Some(Reply::Conflict));
    let count = |text| world.log_counts.get(text).copied().unwrap_or(0);
    assert_eq!(count("settings: Order acknowledged."), 2);
    assert_eq!(count("settings: Order refused, another configuration has this version."), 1);
}

/// Whether each entry answers requests by its configuration, and by which version.
fn in_use(world: &World) -> Vec<(u64, bool)> {
    let now = world.clock();
    let entries = [1, 3, 5].map(|at| world.instances[at].core.as_ref().unwrap());
    entries.map(|core| (core.document().version, !core.is_outdated(now))).to_vec()
}

/// Entries must not go on by what a restarted keeper finds on its disk, which may have been replaced.
#[test]
fn older_after_restart() {
    let mut world = started_world(4);
    assert_eq!(publish(&mut world, 0, 5, "text"), Some(Reply::Noted));
    world.set_zone_cut(2, true);
    assert_eq!(publish(&mut world, 0, 6, "newer"), Some(Reply::Noted));
    (0..6).for_each(|at| world.kill(at));
    world.set_zone_cut(2, false);
    for at in [1, 3, 4, 5] {
        world.start(at);
    }
    world.run(1_000);
    assert_eq!(in_use(&world), [(5, true); 3], "for a short time");
    // What the keeper still announces arrives late.
    for entry in [1, 3, 5] {
        world.delay_stream(4, entry, 400);
    }
    world.run(2_000);
    assert_eq!(in_use(&world), [(5, false); 3], "no keeper confirms it");
    for at in [0, 2] {
        world.start(at);
    }
    world.run(3_000);
    assert_eq!(in_use(&world), [(6, true); 3]);
}

#[test]
fn confirmed_after_restart() {
    let mut world = started_world(5);
    assert_eq!(publish(&mut world, 0, 5, "text"), Some(Reply::Noted));
    (0..6).for_each(|at| world.kill(at));
    (0..6).for_each(|at| world.start(at));
    world.run(300);
    for _ in 0..60 {
        world.run(100);
        assert_eq!(in_use(&world), [(5, true); 3]);
    }
    for at in KEEPERS {
        world.kill(at);
    }
    world.start(0);
    world.run(10_000);
    assert_eq!(in_use(&world), [(5, true); 3], "confirmed before the keepers were lost");
}

/// Guards against entries that refuse all requests after a restart of everything, because no leader is
/// elected while writes to the disks take long.
#[test]
fn confirmed_on_slow_disks() {
    for seed in 0..5 {
        let mut world = started_world(seed);
        assert_eq!(publish(&mut world, 0, 5, "text"), Some(Reply::Noted));
        (0..6).for_each(|at| world.kill(at));
        world.save_time = 60_000 * world::upstream::MS;
        (0..6).for_each(|at| world.start(at));
        world.run(300);
        for _ in 0..60 {
            world.run(100);
            assert_eq!(in_use(&world), [(5, true); 3], "seed {seed}");
        }
    }
}

#[test]
fn minority_cannot_tell() {
    let mut world = started_world(3);
    assert_eq!(publish(&mut world, 0, 1, "text"), Some(Reply::Noted));
    world.set_zone_cut(0, true);
    world.run(2_000);
    assert_eq!(publish(&mut world, 2, 2, "newer"), Some(Reply::Noted));
    assert_eq!(read(&mut world, 0), Some(Reply::Unavailable));
    assert_eq!(publish(&mut world, 0, 3, "lost"), Some(Reply::Unavailable));
    world.set_zone_cut(0, false);
    world.run(3_000);
    assert_eq!(read(&mut world, 0), Some(newest_reply(2, "newer")));
}

#[test]
fn disk_lost_then_power() {
    // One disk is lost, and then all others lose power. The acknowledged version survives
    // because a majority had synced it.
    for wiped in KEEPERS {
        for seed in 0..5 {
            let mut world = started_world(seed);
            assert_eq!(publish(&mut world, KEEPERS[0], 9, "text"), Some(Reply::Noted));
            world.lose_disk(wiped);
            for at in 0..world.instances.len() {
                world.kill(at);
            }
            world.run(500);
            for at in 0..world.instances.len() {
                world.start(at);
            }
            world.run(4_000);
            assert_eq!(
                read(&mut world, wiped),
                Some(newest_reply(9, "text")),
                "seed {seed}, lost {wiped}"
            );
        }
    }
}

/// Index of the leader of the settings group.
fn leader(world: &World) -> Option<usize> {
    let now = world.clock();
    let leads =
        |at: &usize| world.instances[*at].core.as_ref().is_some_and(|c| c.status(now).leading);
    KEEPERS.into_iter().find(|at| !world.instances[*at].frozen && leads(at))
}

/// The seat of a keeper that is gone must be repaired although no leader lasts for 3 s.
#[test]
fn leaders_change_often() {
    for seed in 0..5 {
        let mut world = started_world(seed);
        let removed = KEEPERS.into_iter().find(|at| Some(*at) != leader(&world)).unwrap();
        world.replace_keeper(removed, "10.0.0.77:7301");
        for _ in 0..6 {
            while leader(&world).is_none() {
                world.run(100);
            }
            let frozen = leader(&world).unwrap();
            world.freeze(frozen);
            world.run(1_500);
            world.unfreeze(frozen);
            world.run(1_000);
        }
        assert_eq!(publish(&mut world, KEEPERS[1], 9, "text"), Some(Reply::Noted), "seed {seed}");
        let lost = KEEPERS.into_iter().find(|at| *at != removed).unwrap();
        world.lose_disk(lost);
        (0..6).for_each(|at| world.kill(at));
        world.run(500);
        (0..6).for_each(|at| world.start(at));
        world.run(5_000);
        assert_eq!(
            read(&mut world, removed),
            Some(newest_reply(9, "text")),
            "seed {seed}, {lost} lost its disk"
        );
    }
}

#[test]
fn disks_lost_in_turn() {
    // Each disk is lost once, with time between the losses to catch up. The group repairs its
    // seats.
    let mut world = started_world(6);
    for (version, keeper) in (1..).zip(KEEPERS) {
        assert_eq!(publish(&mut world, keeper, version, "text"), Some(Reply::Noted));
        world.lose_disk(keeper);
        world.run(700);
        world.start(keeper);
        world.run(4_000);
    }
    assert_eq!(read(&mut world, KEEPERS[0]), Some(newest_reply(3, "text")));
}

#[test]
fn keeper_replaced() {
    // In each zone in turn, a keeper is lost permanently and one with an empty disk replaces it at
    // another address.
    let mut world = started_world(7);
    for (version, keeper) in (1..).zip(KEEPERS) {
        assert_eq!(publish(&mut world, keeper, version, "text"), Some(Reply::Noted));
        world.kill(keeper);
        world.run(1_000);
        world.replace_keeper(keeper, &format!("10.{keeper}.7.7:7"));
        world.run(8_000);
        assert_eq!(read(&mut world, keeper), Some(newest_reply(version, "text")));
    }
}

#[test]
fn many_changes() {
    // A keeper that was down during hundreds of changes catches up from a snapshot.
    let mut world = started_world(8);
    world.kill(KEEPERS[2]);
    for version in 1..=200 {
        world.publish(KEEPERS[0], version, "text");
        world.run(60);
    }
    world.run(2_000);
    world.start(KEEPERS[2]);
    world.run(3_000);
    assert_eq!(read(&mut world, KEEPERS[2]), Some(newest_reply(200, "text")));
}

fn route(host: &str, prefix: &str, service: &str, timeout: u64) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        service: service.into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        latency_goal: 60,
        timeout,
    }
}

#[test]
fn checks() {
    let build_error =
        |routes| Routing::new(1, 100, routes, &["board".into()]).map(|_| ()).unwrap_err();
    let error = |at, field, why| RouteError { at, field, why };
    let valid = route("a", "/x/", "board", 10);
    assert_eq!(
        build_error(vec![valid.clone(), route("a", "/y/", "bord", 10)]),
        error(1, Field::Service, "no such service")
    );
    assert_eq!(
        build_error(vec![route("a", "/x/", "board", 0)]),
        error(0, Field::Timeout, "must be more than 0")
    );
    assert_eq!(
        build_error(vec![valid.clone(), route("b", "/x/", "board", 10), valid]),
        error(2, Field::Prefix, "another route has this host and prefix")
    );
}

#[test]
fn longest_prefix() {
    let routes = vec![route("a", "/x/", "board", 1), route("a", "/x/y/", "board", 2)];
    let routing = Routing::new(1, 100, routes, &["board".into()]).unwrap();
    let found = |path| routing.find("a", path).map(|(route, rest)| (route.timeout, rest));
    assert_eq!(found("/x/y/7"), Some((2, "7")));
    assert_eq!(found("/x/z"), Some((1, "z")));
    assert_eq!(found("/z"), None);
    assert!(routing.find("b", "/x/7").is_none());
}

#[test]
fn many_routes() {
    // The time to read routes grows linearly with their number. With a quadratic check of each
    // route against all others, 4,200 routes of one host took 0.3 s on an entry with 0.12 of a
    // core.
    let routes = (0..100_000).map(|at| route("a", &format!("/{at}/"), "board", 10)).collect();
    let started = std::time::Instant::now();
    let routing = Routing::new(1, 100, routes, &["board".into()]).unwrap();
    let found = routing.find("a", "/77777/x").map(|(route, rest)| (route.prefix.clone(), rest));
    assert_eq!(found, Some(("/77777/".into(), "x")));
    let elapsed = started.elapsed();
    assert!(elapsed < std::time::Duration::from_secs(5), "{elapsed:?}");
}

/// Guards against an entry that has resumed after a stop and answers by what it had before, or takes
/// a heartbeat that was sent during the stop for a confirmation.
#[test]
fn resumed_entry() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 1, 4);
        world.run(3_000);
        assert_eq!(publish(&mut world, KEEPERS[0], 5, "one"), Some(Reply::Noted));
        world.run(1_000);
        let state = |world: &World| {
            let core = world.instances[1].core.as_ref().expect("it runs");
            (core.document().version, core.is_settled(world.clock()))
        };
        assert_eq!(state(&world), (5, true), "seed {seed}");
        world.freeze(1);
        world.run(1_500);
        assert_eq!(publish(&mut world, KEEPERS[0], 6, "other"), Some(Reply::Noted));
        world.run(1_500);
        world.unfreeze(1);
        // What waits for it is handled one microsecond later.
        let resumed = world.now;
        world.run(1);
        let mut settled_after = None;
        for ms in 1..500 {
            match state(&world) {
                (6, true) => {
                    settled_after = Some(ms);
                    break;
                }
                (version, settled) => {
                    assert!(!settled, "seed {seed}: version {version}, {} us", world.now - resumed);
                }
            }
            world.run(1);
        }
        assert!(settled_after.is_some_and(|ms| ms < 400), "seed {seed}: {settled_after:?}");
    }
}

/// An entry that has resumed and reaches no keeper goes on with the configuration that it has.
#[test]
fn resumed_cut_off() {
    let mut world = World::new(1, 3, 1, 4);
    world.run(3_000);
    assert_eq!(publish(&mut world, KEEPERS[0], 5, "one"), Some(Reply::Noted));
    world.run(1_000);
    world.freeze(1);
    world.run(1_500);
    for keeper in KEEPERS {
        world.kill(keeper);
    }
    world.unfreeze(1);
    world.run(20);
    let settled =
        |world: &World| world.instances[1].core.as_ref().map(|core| core.is_settled(world.clock()));
    assert_eq!(settled(&world), Some(false));
    world.run(600);
    assert_eq!(settled(&world), Some(true));
}
