//! Declares the derive sets that the workspace uses.

/// Declares a type with one of the workspace's derive sets.
///
/// | set | derives |
/// | --- | --- |
/// | `data` | `Clone`, `Debug`, `PartialEq`, serde both ways |
/// | `key` | `data` and `Eq`, `PartialOrd`, `Ord`, `Hash` |
/// | `copy` | `key` and `Copy` |
///
/// ```
/// lovageplank_core::record! { copy =>
///     /// A position in the log.
///     pub struct Index(pub u64);
/// }
/// assert!(Index(1) < Index(2));
/// ```
#[macro_export]
macro_rules! record {
    (data => $($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $($item)*
    };
    (key => $($item:tt)*) => {
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
        )]
        $($item)*
    };
    (copy => $($item:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
        )]
        $($item)*
    };
}
