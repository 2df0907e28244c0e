//! Backend server stand-in.
