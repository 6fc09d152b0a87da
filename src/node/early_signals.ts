/**
 * Handlers of the signals of a program from its first moment.
 *
 * A signal without a handler kills the process, SIGHUP too. This module imports
 * nothing, so that a main program can install the handlers before it loads the
 * rest.
 *
 * @module
 */

const SIGNALS = ["SIGTERM", "SIGINT", "SIGHUP"] as const;

/** A signal that a program handles. */
export type HandledSignal = typeof SIGNALS[number];

/** Sets the handler of the signals, which gets those received before, too. */
export type SetSignalHandler = (
  handle: (signal: HandledSignal) => void,
) => void;

/** Installs handlers that keep signals until a program handles them. */
export function captureSignals(): SetSignalHandler {
  const received: HandledSignal[] = [];
  let handle = (signal: HandledSignal): void => {
    received.push(signal);
  };
  for (const signal of SIGNALS) process.on(signal, () => handle(signal));
  return (newHandle) => {
    handle = newHandle;
    for (const signal of received.splice(0)) handle(signal);
  };
}
