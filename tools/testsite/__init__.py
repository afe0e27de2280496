"""Sites of real processes on loopback, for the demo, the proofs and the measurements."""
