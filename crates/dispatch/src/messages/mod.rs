//! Messages and events: what instances exchange, what an instance is told, and what it returns.
//!
//! - [`message`] and [`reservation`] hold the messages between instances, [`event`] the input and output of one.
//! - [`member`], [`claim`], [`parts`], [`upstream`], [`incarnation`], [`job`], [`share`] and
//!   [`order`] are the things that messages speak of.

pub mod claim;
pub mod compression;
pub mod evacuation;
pub mod event;
pub mod incarnation;
pub mod job;
pub mod member;
pub mod message;
pub mod order;
pub mod parts;
pub mod reservation;
pub mod share;
pub mod suspect;
pub mod time;
pub mod timing;
pub mod upstream;
