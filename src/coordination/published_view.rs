//! Shares the control thread's view with the request threads.

use {
    crate::state::view::View,
    std::sync::{Arc, PoisonError, RwLock},
};

/// The latest view, shared between threads.
#[derive(Clone, Debug)]
pub struct PublishedView(Arc<RwLock<Arc<View>>>);

impl PublishedView {
    /// Creates the shared view with an initial value.
    pub fn new(view: View) -> Self {
        Self(Arc::new(RwLock::new(Arc::new(view))))
    }

    /// Returns the latest view.
    pub fn get(&self) -> Arc<View> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Publishes a new view.
    pub fn set(&self, view: View) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}
