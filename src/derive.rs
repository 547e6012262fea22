//! Macros that derive the common sets of traits, so that all types of a kind behave alike.

/// Derives the traits of a domain value, which is sent between processes.
macro_rules! value {
    ($($item:item)*) => {$(
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        $item
    )*};
}

/// Derives the traits of a small enumeration or key, which is copied, compared and hashed.
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

/// Derives the traits of an event or action, which stays inside one process.
macro_rules! event {
    ($($item:item)*) => {$(
        #[derive(Clone, Debug, PartialEq)]
        $item
    )*};
}
