/** The HTTP/2 connection to one router. */
import { Http2SessionManager } from "@connectrpc/connect-node";
import type {
    ClientHttp2Session,
    ClientHttp2Stream,
    ClientSessionRequestOptions,
    OutgoingHttpHeaders,
} from "node:http2";

const watchedSessions = new WeakSet<ClientHttp2Session>();

/**
 * Keeps an error listener on each connection for as long as it lives. The manager takes its own away when a connection
 * leaves its care, and an error after that, as on a GOAWAY frame of a peer that stops, would end the process.
 */
export class PeerSessions extends Http2SessionManager {
    override async request(
        method: string,
        path: string,
        headers: OutgoingHttpHeaders,
        options: Omit<ClientSessionRequestOptions, "signal">,
    ): Promise<ClientHttp2Stream> {
        const stream = await super.request(method, path, headers, options);
        const session = stream.session as ClientHttp2Session | undefined;
        if (session !== undefined && !watchedSessions.has(session)) {
            watchedSessions.add(session);
            session.on("error", () => undefined);
        }
        return stream;
    }
}
