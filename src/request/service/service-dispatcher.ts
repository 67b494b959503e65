/**
 * Sends one call to one VM. Calls that must not be repeated use a new connection, so that a failure before the
 * connection is established proves that no byte was written.
 */
import { Agent, Client, type Dispatcher } from "undici";
import { monotonicNow } from "../../common/clock.js";
import { isFinalStatus } from "../../common/http-status.js";
import { ConnectionFailedError, ConnectionFailure, DeadlineExceededError, Outcome } from "../../errors/index.js";
import { buildRequestHeaders, endToEndHeaders } from "./headers.js";
import { DispatchKind, type DispatchResult, type ServiceCall, type ServiceInstance } from "./types.js";

const connectTimeoutMilliseconds = 1_000;
const pooledConnectionsPerVm = 64;
const keepAliveMilliseconds = 4_000;
/** Codes of errors that mean that no connection was established. */
const connectErrorCodes: ReadonlySet<unknown> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

export class ServiceDispatcher {
    private readonly pool = new Agent({
        connections: pooledConnectionsPerVm,
        keepAliveTimeout: keepAliveMilliseconds,
        connect: { timeout: connectTimeoutMilliseconds },
    });

    /** Sends an idempotent call over a pooled keep-alive connection. */
    async callPooled(
        call: ServiceCall,
        instance: ServiceInstance,
        timeoutMilliseconds: number,
    ): Promise<DispatchResult> {
        return sendRequest(this.pool, call, instance, timeoutMilliseconds, error => !isConnectFailure(error));
    }

    /** Sends a call over a new connection that carries no other call. */
    async callOnNewConnection(call: ServiceCall, instance: ServiceInstance): Promise<DispatchResult> {
        const remaining = call.deadline - monotonicNow();
        let connected = false;
        const client = new Client(new URL(instance.address).origin, {
            pipelining: 1,
            connect: { timeout: Math.max(1, Math.min(connectTimeoutMilliseconds, remaining)) },
        });
        client.once("connect", () => {
            connected = true;
        });
        const result = await sendRequest(client, call, instance, remaining, () => connected);
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

async function sendRequest(
    dispatcher: Dispatcher,
    call: ServiceCall,
    instance: ServiceInstance,
    timeoutMilliseconds: number,
    mayHaveWrittenBytes: (error: unknown) => boolean,
): Promise<DispatchResult> {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(new DeadlineExceededError(Outcome.unknown)), timeoutMilliseconds);
    const callerGone = () => abort.abort();
    call.signal?.addEventListener("abort", callerGone);
    const cleanUp = () => {
        clearTimeout(timer);
        call.signal?.removeEventListener("abort", callerGone);
    };
    try {
        call.signal?.throwIfAborted();
        const response = await dispatcher.request({
            origin: new URL(instance.address).origin,
            path: call.path,
            method: call.method,
            headers: buildRequestHeaders(call.headers, call.requestId, call.customer, timeoutMilliseconds),
            body: call.body,
            signal: abort.signal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        response.body.once("close", cleanUp);
        if (!isFinalStatus(response.statusCode)) {
            response.body.on("error", () => undefined).destroy();
            return {
                kind: DispatchKind.unknown,
                error: new ConnectionFailedError(instance.id, ConnectionFailure.protocol, true),
            };
        }
        const headers = endToEndHeaders(response.headers);
        return {
            kind: DispatchKind.responded,
            response: { status: response.statusCode, headers, body: response.body },
        };
    }
    catch (error) {
        cleanUp();
        return { kind: mayHaveWrittenBytes(error) ? DispatchKind.unknown : DispatchKind.notRun, error: error as Error };
    }
}

function isConnectFailure(error: unknown): boolean {
    return connectErrorCodes.has((error as { readonly code?: unknown; } | undefined)?.code);
}
