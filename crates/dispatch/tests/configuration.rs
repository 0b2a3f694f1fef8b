//! The replicated configuration: the highest version wins, and what was acknowledged stays.

mod world;

use dispatch::{
    event::Reply,
    message::Document,
    routing::{Field, Route, RouteError, Routing},
};
use world::World;

/// Keepers of the three zones, as instances of the world.
const KEEPERS: [usize; 3] = [0, 2, 4];

fn ready(seed: u64) -> World {
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

fn newest(version: u64, text: &str) -> Reply {
    let body = text.to_owned().into();
    Reply::Newest(Document { version, body })
}

#[test]
fn in_force_everywhere() {
    let mut world = ready(1);
    for (version, keeper) in [(3, 0), (7, 2), (8, 4)] {
        assert_eq!(publish(&mut world, keeper, version, "text"), Some(Reply::Noted));
        let behind = world
            .instances
            .iter()
            .filter(|i| i.core.as_ref().is_none_or(|core| core.document().version != version));
        assert_eq!(behind.count(), 0, "version {version}");
    }
}

#[test]
fn races() {
    let mut world = ready(2);
    let first = world.publish(KEEPERS[0], 5, "one");
    let second = world.publish(KEEPERS[1], 5, "other");
    world.run(1_000);
    let replies = [world.reply(first).cloned(), world.reply(second).cloned()];
    assert!(replies.contains(&Some(Reply::Noted)) && replies.contains(&Some(Reply::Conflict)));
    let held = if replies[0] == Some(Reply::Noted) { "one" } else { "other" };
    for keeper in KEEPERS {
        assert_eq!(read(&mut world, keeper), Some(newest(5, held)));
        assert_eq!(publish(&mut world, keeper, 5, held), Some(Reply::Noted), "sent again");
        assert_eq!(publish(&mut world, keeper, 4, "older"), Some(Reply::Noted));
        assert_eq!(read(&mut world, keeper), Some(newest(5, held)), "an older one changes nothing");
    }
}

#[test]
fn minority_cannot_tell() {
    let mut world = ready(3);
    assert_eq!(publish(&mut world, 0, 1, "text"), Some(Reply::Noted));
    world.cut_zone(0, true);
    world.run(2_000);
    assert_eq!(publish(&mut world, 2, 2, "newer"), Some(Reply::Noted));
    assert_eq!(read(&mut world, 0), Some(Reply::Unavailable));
    assert_eq!(publish(&mut world, 0, 3, "lost"), Some(Reply::Unavailable));
    world.cut_zone(0, false);
    world.run(3_000);
    assert_eq!(read(&mut world, 0), Some(newest(2, "newer")));
}

#[test]
fn disk_lost_then_power() {
    // One disk is lost, then all others lose power: a majority had synced what was acknowledged.
    for wiped in KEEPERS {
        for seed in 0..5 {
            let mut world = ready(seed);
            assert_eq!(publish(&mut world, KEEPERS[0], 9, "text"), Some(Reply::Noted));
            world.wipe(wiped);
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
                Some(newest(9, "text")),
                "seed {seed}, lost {wiped}"
            );
        }
    }
}

#[test]
fn disks_lost_in_turn() {
    // Each disk is lost once, with the catch-up time between; the group repairs its seats.
    let mut world = ready(6);
    for (version, keeper) in (1..).zip(KEEPERS) {
        assert_eq!(publish(&mut world, keeper, version, "text"), Some(Reply::Noted));
        world.wipe(keeper);
        world.run(700);
        world.start(keeper);
        world.run(4_000);
    }
    assert_eq!(read(&mut world, KEEPERS[0]), Some(newest(3, "text")));
}

#[test]
fn keeper_replaced() {
    // A keeper is gone for good, and an empty one comes at another address, in each zone in turn.
    let mut world = ready(7);
    for (version, keeper) in (1..).zip(KEEPERS) {
        assert_eq!(publish(&mut world, keeper, version, "text"), Some(Reply::Noted));
        world.kill(keeper);
        world.run(1_000);
        world.move_keeper(keeper, &format!("10.{keeper}.7.7:7"));
        world.run(8_000);
        assert_eq!(read(&mut world, keeper), Some(newest(version, "text")));
    }
}

#[test]
fn many_changes() {
    // A keeper that was away for hundreds of changes catches up by a snapshot.
    let mut world = ready(8);
    world.kill(KEEPERS[2]);
    for version in 1..=200 {
        world.publish(KEEPERS[0], version, "text");
        world.run(60);
    }
    world.run(2_000);
    world.start(KEEPERS[2]);
    world.run(3_000);
    assert_eq!(read(&mut world, KEEPERS[2]), Some(newest(200, "text")));
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
    let check = |routes| Routing::new(1, 100, routes, &["board".into()]).map(|_| ()).unwrap_err();
    let fault = |at, field, why| RouteError { at, field, why };
    let sound = route("a", "/x/", "board", 10);
    assert_eq!(
        check(vec![sound.clone(), route("a", "/y/", "bord", 10)]),
        fault(1, Field::Service, "no such service")
    );
    assert_eq!(
        check(vec![route("a", "/x/", "board", 0)]),
        fault(0, Field::Timeout, "must be more than 0")
    );
    assert_eq!(
        check(vec![sound.clone(), route("b", "/x/", "board", 10), sound]),
        fault(2, Field::Prefix, "another route has this host and prefix")
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
    // Reading grows with the routes, not with their square: of 4,200 routes of one host an entry's
    // 0.12 of a core took 0.3 s to check each against all others.
    let routes = (0..100_000).map(|at| route("a", &format!("/{at}/"), "board", 10)).collect();
    let began = std::time::Instant::now();
    let routing = Routing::new(1, 100, routes, &["board".into()]).unwrap();
    let found = routing.find("a", "/77777/x").map(|(route, rest)| (route.prefix.clone(), rest));
    assert_eq!(found, Some(("/77777/".into(), "x")));
    let took = began.elapsed();
    assert!(took < std::time::Duration::from_secs(5), "{took:?}");
}
