/**
 * Decides which connection closes when there are as many as there may be, so that connections of callers leave the
 * descriptors that backend servers, the store and other routers need. Answers the load pattern of clients that open
 * connections and leave them, before a request or after one, while others come with requests.
 */

export interface ConnectionLimit<Connection> {
    /** Returns the connection that has to be closed, which may be the new one. */
    opened(connection: Connection): Connection | undefined;
    closed(connection: Connection): void;
    requestBegun(connection: Connection): void;
    /** Called when no request is left on the connection. */
    requestsEnded(connection: Connection): void;
}

/** Baseline: closes each new connection beyond the maximum, as the runtime's limit does. */
export class NewestConnectionLimit<Connection> implements ConnectionLimit<Connection> {
    private readonly open = new Set<Connection>();

    constructor(private readonly maximum: number) {}

    opened(connection: Connection): Connection | undefined {
        if (this.open.size >= this.maximum) {
            return connection;
        }
        this.open.add(connection);
        return undefined;
    }

    closed(connection: Connection): void {
        this.open.delete(connection);
    }

    requestBegun(): void {}

    requestsEnded(): void {}
}

/**
 * Closes the connection that has been idle for longest, of those that never had a request or of those that had one,
 * whichever are more; so a crowd of one kind takes its places from itself. The new one closes only if no other is idle.
 */
export class IdleConnectionLimit<Connection> implements ConnectionLimit<Connection> {
    private readonly open = new Set<Connection>();
    /** In the order in which they were opened. */
    private readonly unused = new Set<Connection>();
    /** In the order in which their last requests ended. */
    private readonly idle = new Set<Connection>();

    constructor(private readonly maximum: number) {}

    opened(connection: Connection): Connection | undefined {
        this.open.add(connection);
        this.unused.add(connection);
        if (this.open.size <= this.maximum) {
            return undefined;
        }
        const [oldest] = this.idle.size >= this.unused.size ? this.idle : this.unused;
        const closing = oldest ?? connection;
        this.closed(closing);
        return closing;
    }

    closed(connection: Connection): void {
        this.open.delete(connection);
        this.unused.delete(connection);
        this.idle.delete(connection);
    }

    requestBegun(connection: Connection): void {
        this.unused.delete(connection);
        this.idle.delete(connection);
    }

    requestsEnded(connection: Connection): void {
        if (this.open.has(connection)) {
            this.idle.add(connection);
        }
    }
}
