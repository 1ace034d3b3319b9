//! Retry budgets and back-off.
