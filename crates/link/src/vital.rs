//! Parts that an instance needs as long as it runs. When one of them ends, by returning or by a
//! panic, the others would wait for it for ever, so its owner acts on the end.

use std::{fmt, future, io, sync, sync::atomic, thread};

/// What an owner does when a part has ended; the argument is the name of the part.
pub type EndFn = Box<dyn Fn(&'static str) + Send + Sync>;

struct Shared {
    on_end: EndFn,
    is_watching: atomic::AtomicBool,
    /// A part that ended before the owner watched.
    early: sync::Mutex<Option<&'static str>>,
}

/// The owner of the parts of an instance. Clones own the same parts.
#[derive(Clone)]
pub struct Owner(sync::Arc<Shared>);

impl fmt::Debug for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_watching = self.0.is_watching.load(atomic::Ordering::SeqCst);
        f.debug_struct("Owner").field("is_watching", &is_watching).finish_non_exhaustive()
    }
}

impl Owner {
    /// Creates an owner that calls `on_end` for each part that ends while it watches.
    ///
    /// ```
    /// let (ended, names) = std::sync::mpsc::channel();
    /// let owner = link::vital::Owner::new(Box::new(move |name| ended.send(name).unwrap()));
    /// owner.watch();
    /// owner.spawn("store", || {}).unwrap();
    /// assert_eq!(names.recv().unwrap(), "store");
    /// ```
    pub fn new(on_end: EndFn) -> Self {
        let (is_watching, early) = (atomic::AtomicBool::new(false), sync::Mutex::new(None));
        Self(sync::Arc::new(Shared { on_end, is_watching, early }))
    }

    /// Starts to watch the parts, once all of them are started. A start that fails ends its parts
    /// with its own error.
    pub fn watch(&self) {
        self.0.is_watching.store(true, atomic::Ordering::SeqCst);
        let early = self.0.early.lock().unwrap_or_else(sync::PoisonError::into_inner).take();
        if let Some(name) = early {
            (self.0.on_end)(name);
        }
    }

    /// Starts a thread that runs a part.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot start a thread.
    ///
    /// ```
    /// # let owner = link::vital::Owner::new(Box::new(|_| ()));
    /// assert!(owner.spawn("store", || {}).is_ok());
    /// ```
    pub fn spawn(&self, name: &'static str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let part = self.part(name);
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _part = part;
            run();
        })?;
        Ok(())
    }

    /// Returns a task that runs a part.
    pub async fn run(self, name: &'static str, task: impl future::Future<Output = ()>) {
        let _part = self.part(name);
        task.await;
    }

    /// Allows all parts to end from now on, because the instance shuts down.
    pub fn release(&self) {
        self.0.is_watching.store(false, atomic::Ordering::SeqCst);
    }

    fn part(&self, name: &'static str) -> Part {
        Part { owner: self.clone(), name }
    }
}

/// Reports the end of a part when it is dropped, also by a panic.
struct Part {
    owner: Owner,
    name: &'static str,
}

impl Drop for Part {
    fn drop(&mut self) {
        let shared = &self.owner.0;
        *shared.early.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(self.name);
        if shared.is_watching.load(atomic::Ordering::SeqCst) {
            (shared.on_end)(self.name);
        }
    }
}
