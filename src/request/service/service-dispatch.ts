/**
 * One dispatch of one call to one VM. For work that may not be repeated, the connection is new, so that a failure
 * before it was made proves that no byte was written.
 */
import { Agent, Client, type Dispatcher } from "undici";
import { monotonicNow } from "../../common/clock.js";
import { DeadlineExceededError, Outcome } from "../../errors/index.js";
import { endToEndHeaders, requestHeaders } from "./headers.js";
import { DispatchKind, type DispatchResult, type ServiceCall, type ServiceInstance } from "./types.js";

const connectTimeoutMilliseconds = 1_000;
const pooledConnectionsForEachVm = 64;
const keepAliveMilliseconds = 4_000;
/** Errors after which no connection was made. */
const connectFailures: ReadonlySet<unknown> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

export class ServiceDispatcher {
    private readonly pool = new Agent({
        connections: pooledConnectionsForEachVm,
        keepAliveTimeout: keepAliveMilliseconds,
        connect: { timeout: connectTimeoutMilliseconds },
    });

    /** Calls over a kept connection, for idempotent work. */
    async call(call: ServiceCall, instance: ServiceInstance, timeoutMilliseconds: number): Promise<DispatchResult> {
        return request(this.pool, call, instance, timeoutMilliseconds, error => !isConnectFailure(error));
    }

    /** Calls over a new connection that carries nothing else. */
    async callFresh(call: ServiceCall, instance: ServiceInstance): Promise<DispatchResult> {
        const remaining = call.deadline - monotonicNow();
        let connected = false;
        const client = new Client(new URL(instance.address).origin, {
            pipelining: 1,
            connect: { timeout: Math.max(1, Math.min(connectTimeoutMilliseconds, remaining)) },
        });
        client.once("connect", () => {
            connected = true;
        });
        const result = await request(client, call, instance, remaining, () => connected);
        if (result.kind === DispatchKind.responded) {
            result.response.body.once("close", () => void client.destroy());
        }
        else {
            void client.destroy();
        }
        return result;
    }

    close(): Promise<void> {
        return this.pool.destroy();
    }
}

async function request(
    dispatcher: Dispatcher,
    call: ServiceCall,
    instance: ServiceInstance,
    timeoutMilliseconds: number,
    mayHaveWritten: (error: unknown) => boolean,
): Promise<DispatchResult> {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(new DeadlineExceededError(Outcome.unknown)), timeoutMilliseconds);
    const callerGone = () => abort.abort();
    call.signal?.addEventListener("abort", callerGone);
    const release = () => {
        clearTimeout(timer);
        call.signal?.removeEventListener("abort", callerGone);
    };
    try {
        call.signal?.throwIfAborted();
        const response = await dispatcher.request({
            origin: new URL(instance.address).origin,
            path: call.path,
            method: call.method,
            headers: requestHeaders(call.headers, call.requestId, call.customer, timeoutMilliseconds),
            body: call.body,
            signal: abort.signal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        response.body.once("close", release);
        const headers = endToEndHeaders(response.headers);
        return {
            kind: DispatchKind.responded,
            response: { status: response.statusCode, headers, body: response.body },
        };
    }
    catch (error) {
        release();
        return { kind: mayHaveWritten(error) ? DispatchKind.unknown : DispatchKind.notRun, error: error as Error };
    }
}

function isConnectFailure(error: unknown): boolean {
    return connectFailures.has((error as { readonly code?: unknown; } | undefined)?.code);
}
