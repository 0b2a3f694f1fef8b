//! External interfaces of an instance: the protocol between instances, and the JSON types for
//! clients, upstreams and operators.
//!
//! ```
//! let text = r#"{"job": "west-0190b6c4-7e2a-7c3e-8a54-000000000001", "service": "polish-board",
//!                "deadline_ms": 500, "idempotent": false, "tasks": [{"payload": 7}]}"#;
//! let job = proto::json::Job::parse(text.as_bytes()).unwrap();
//! assert_eq!(job.tasks.len(), 1);
//! ```

pub mod error;
pub mod json;
#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    missing_docs,
    reason = "generated code"
)]
pub mod peer;

pub use error::Error;

/// Version of the protocol between instances. Bodies are encoded by position, so that it rises with
/// each change of a message: instances of different versions refuse each other's streams.
pub const VERSION: u32 = 4;
