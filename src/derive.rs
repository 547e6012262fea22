//! Macros that derive the common sets of traits, so that all types of a sort behave alike.

/// Derives the set of a domain value, which travels between processes.
macro_rules! value {
    ($($item:item)*) => {$(
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        $item
    )*};
}

/// Derives the set of a small enumeration or key, which is copied, compared and hashed.
macro_rules! token {
    ($($item:item)*) => {$(
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        $item
    )*};
}

/// Derives the set of an event or action, which stays inside one process.
macro_rules! event {
    ($($item:item)*) => {$(
        #[derive(Clone, Debug, PartialEq)]
        $item
    )*};
}
