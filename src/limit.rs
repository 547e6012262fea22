//! Limits: admission, queues and fairness among workspaces.
