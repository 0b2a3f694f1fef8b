//! State of an instance: names and ids, bootstrap files, the settings tree, the journal's job
//! table, the table of upstreams, and the write-ahead log that stores the settings tree.
//!
//! Except for [`JobId::generate`], which reads the wall clock, this crate opens no socket, reads no
//! clock and starts no thread. Only [`folder`] and [`wal`] do I/O, through [`disk`]; they own the files
//! of one data folder.
//!
//! ```
//! use state::{JobId, Tree};
//!
//! let id: JobId = "west-0190b6c4-7e2a-7c3e-8a54-000000000001".parse().unwrap();
//! assert_eq!(id.zone().as_str(), "west");
//!
//! let tree = Tree::new();
//! assert_eq!(tree.version(), 0);
//! assert!(tree.effective("polish-board").is_none(), "a path exists once it has been set");
//! ```

pub mod boot;
pub mod disk;
pub mod error;
pub mod folder;
pub mod id;
pub mod key;
pub mod locate;
pub mod name;
pub mod node;
pub mod policy;
mod reader;
pub mod table;
pub mod tree;
pub mod upstream;
pub mod wal;

pub use boot::Boot;
pub use error::Error;
pub use id::JobId;
pub use name::{Member, Name};
pub use table::Table;
pub use tree::Tree;
