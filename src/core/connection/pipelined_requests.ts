/**
 * Order of the requests on one connection, and the response that closes it.
 *
 * @module
 */

/**
 * Requests on one connection. Their responses are sent in the order in which
 * the requests arrived.
 */
export class PipelinedRequests {
  readonly #unanswered = new Set<number>();
  #newestId: number | undefined;
  #isClosing = false;

  /** Whether no request waits for its complete response. */
  get isIdle(): boolean {
    return this.#unanswered.size === 0;
  }

  /** Whether a response closes the connection, or no request is read any more. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /**
   * Adds a request that has arrived. Returns false if it comes behind the one
   * whose response closes the connection: it must not be handled, as it gets no
   * response.
   */
  add(id: number): boolean {
    if (this.#isClosing) return false;
    this.#unanswered.add(id);
    this.#newestId = id;
    return true;
  }

  /** Whether a request waits for its complete response. */
  has(id: number): boolean {
    return this.#unanswered.has(id);
  }

  /** Removes a request whose response is complete or is not sent at all. */
  remove(id: number): void {
    this.#unanswered.delete(id);
  }

  /** Ends the handling of further requests on the connection. */
  stopReading(): void {
    this.#isClosing = true;
  }

  /**
   * Decides whether a response closes the connection, when its head is written.
   * A response that has to wait for earlier ones does not, as further requests
   * may arrive until it is sent; nor does one with requests behind it.
   *
   * @param options `isWanted` is whether the connection should be closed,
   * `isNext` whether all earlier responses are complete, and `isRequired`
   * whether the end of the connection marks the end of the response.
   */
  closesAfter(
    id: number,
    { isWanted, isNext, isRequired = false }: {
      isWanted: boolean;
      isNext: boolean;
      isRequired?: boolean;
    },
  ): boolean {
    const mayClose = isNext && this.#newestId === id;
    const closes = isRequired || (isWanted && mayClose);
    if (closes) this.#isClosing = true;
    return closes;
  }
}
