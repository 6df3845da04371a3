/** Replays generated traces of demand through the keep-alive policies and compares them with baselines. */
package io.persimmonstack.load.replay;
