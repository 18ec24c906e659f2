//! Records of a concurrent run and the checkers that judge them.
