package main

func playLateCalls(*fleet, *record, bool) (bool, error)     { return true, nil }
func playHiddenRestart(*fleet, *record, bool) (bool, error) { return true, nil }
