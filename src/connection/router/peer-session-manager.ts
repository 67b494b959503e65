/** Manages the HTTP/2 sessions to one router. */
import { Http2SessionManager } from "@connectrpc/connect-node";
import type {
    ClientHttp2Session,
    ClientHttp2Stream,
    ClientSessionRequestOptions,
    OutgoingHttpHeaders,
} from "node:http2";

const sessionsWithErrorListener = new WeakSet<ClientHttp2Session>();

/**
 * Keeps an error listener on each session for its whole lifetime. The base class removes its own listener when it stops
 * managing a session. A later error, such as the one after a GOAWAY frame from a peer that shuts down, would then be
 * unhandled and end the process.
 */
export class PeerSessionManager extends Http2SessionManager {
    override async request(
        method: string,
        path: string,
        headers: OutgoingHttpHeaders,
        options: Omit<ClientSessionRequestOptions, "signal">,
    ): Promise<ClientHttp2Stream> {
        const stream = await super.request(method, path, headers, options);
        const session = stream.session as ClientHttp2Session | undefined;
        if (session !== undefined && !sessionsWithErrorListener.has(session)) {
            sessionsWithErrorListener.add(session);
            session.on("error", () => undefined);
        }
        return stream;
    }
}
