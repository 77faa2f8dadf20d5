"""Cases of the independent review, and the stand-ins that they share."""
