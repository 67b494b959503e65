/**
 * Schema of a router's settings file: what the process needs before it can reach other services. Configuration that may
 * change at run time is in the sheet instead.
 */
import { z } from "zod";
import { LogFormat, LogLevel, type LogLevelName } from "../../common/logger.js";

const maximumPort = 65_535;
const hashPattern = /^[0-9a-f]{64}$/;

const host = z.string().min(1);
const port = z.int().min(0).max(maximumPort);
const milliseconds = z.int().min(1);
const url = z.url({ protocol: /^https?$/ });

const tls = z.strictObject({
    certificateFile: z.string().min(1).describe("PEM file with the certificate chain of this process."),
    keyFile: z.string().min(1).describe("PEM file with the private key of the certificate."),
    authorityFile: z.string().min(1).describe(
        "PEM file with the certificate authorities that may issue the other side's certificate.",
    ),
}).describe("Certificates. Changed files are reloaded without a restart.");

const serverTls = z.strictObject({
    certificateFile: z.string().min(1).describe("PEM file with the certificate chain that is presented to callers."),
    keyFile: z.string().min(1).describe("PEM file with the private key of the certificate."),
}).describe("Certificate presented to callers; read at startup only.");

const router = z.strictObject({
    id: z.string().min(1).max(64).describe("ID of this router, unique in the fleet."),
    region: z.string().min(1).describe("Region of this VM."),
    availabilityZone: z.string().min(1).describe("Availability zone of this VM."),
}).describe("Identity and location of this router.");

const callers = z.strictObject({
    host: host.default("127.0.0.1").describe("IP address to listen on for callers."),
    port: port.default(8080).describe("TCP port to listen on for callers; 0 picks a free port."),
    maximumBodyBytes: z.int().min(1024).default(4_194_304).describe("Maximum size of a request body, in bytes."),
    headersTimeoutMilliseconds: milliseconds.default(10_000).describe(
        "Time in which a caller must send its request headers.",
    ),
    bodyTimeoutMilliseconds: milliseconds.default(30_000).describe(
        "Time in which a caller must send its request body.",
    ),
    maximumConnections: z.int().min(1).default(20_000).describe(
        "Maximum number of concurrent connections from callers.",
    ),
    maximumTimeoutMilliseconds: milliseconds.default(600_000).describe(
        "Longest request timeout that a caller may ask for.",
    ),
    tls: serverTls.optional().describe(
        "Certificate if this process terminates TLS. Omit it if the load balancer does.",
    ),
}).describe("The interface for callers.");

const operators = z.strictObject({
    host: host.default("127.0.0.1").describe("IP address to listen on for operators' commands."),
    port: port.default(8081).describe("TCP port to listen on for operators' commands; 0 picks a free port."),
    credentialHash: z.string().regex(hashPattern).optional().describe(
        "SHA-256 in hexadecimal of the operators' credential. Without it, only calls from loopback are answered.",
    ),
}).describe("The interface for operators.");

const peers = z.strictObject({
    host: host.default("127.0.0.1").describe("IP address to listen on for other routers."),
    port: port.default(8082).describe("TCP port to listen on for other routers; 0 picks a free port."),
    seeds: z.array(url).default([]).describe(
        "Base URLs of routers to join through, in addition to the platform's list of VMs.",
    ),
    tls: tls.optional().describe(
        "Certificates for mutual TLS. Without them, connections between routers are plaintext, on loopback only.",
    ),
}).describe("The interface between routers.");

const platform = z.strictObject({
    keyValueAddresses: z.array(url).min(1).describe("Base URLs of the platform's key-value service."),
    vmListAddresses: z.array(url).min(1).describe("Base URLs of the platform's list of VMs."),
    timeoutMilliseconds: milliseconds.default(1000).describe("Timeout of one call to the platform."),
}).describe("The platform's services.");

const backendServers = z.strictObject({
    silenceMilliseconds: milliseconds.default(1000).describe(
        "Time without a frame or heartbeat after which a connection with outstanding work is closed.",
    ),
    connectTimeoutMilliseconds: milliseconds.default(500).describe("Time in which a connection must be established."),
    orderCredentialFile: z.string().min(1).optional().describe(
        "File with the credential that orders carry, for backend servers that check it.",
    ),
}).describe("Connections to backend servers.");

const drain = z.strictObject({
    balancerDelayMilliseconds: z.int().min(0).default(2000).describe(
        "Time between reporting not ready and refusing new requests, for the load balancer to react.",
    ),
    timeoutMilliseconds: milliseconds.default(120_000).describe(
        "Time in which requests in flight must finish.",
    ),
}).describe("Graceful shutdown.");

const placement = z.strictObject({
    enabled: z.boolean().default(true).describe(
        "Whether this router may hold the placement lease and order backend servers to load layers.",
    ),
}).describe("Placement of models on backend servers.");

const logs = z.strictObject({
    format: z.enum(Object.values(LogFormat)).default(LogFormat.json).describe(
        "'json' for production, 'pretty' for a terminal.",
    ),
    level: z.enum(Object.keys(LogLevel) as [LogLevelName, ...LogLevelName[]]).default("info").describe(
        "Minimum level of the messages that are written.",
    ),
}).describe("Logs, written to standard error.");

const metrics = z.strictObject({
    host: host.default("127.0.0.1").describe("IP address of the StatsD server."),
    port: port.default(8125).describe("UDP port of the StatsD server."),
}).describe("Metrics over StatsD. If omitted, no metrics are sent.");

/** Schema of the settings file. */
export const routerSettingsSchema = z.strictObject({
    router,
    callers: callers.prefault({}),
    operators: operators.prefault({}),
    peers: peers.prefault({}),
    platform,
    backendServers: backendServers.prefault({}),
    placement: placement.prefault({}),
    drain: drain.prefault({}),
    logs: logs.prefault({}),
    metrics: metrics.optional(),
});

export type RouterSettings = z.infer<typeof routerSettingsSchema>;
export type RouterSettingsInput = z.input<typeof routerSettingsSchema>;
export type TlsSettings = z.infer<typeof tls>;
