/** Converts messages between routers to and from protobuf. */
import { create } from "@bufbuild/protobuf";
import { type BackendServerNotice, BackendServerSignal, type RouterMember, RouterState } from "../../domain/fleet.js";
import type { StoredVersion, VersionAnnouncement } from "../../domain/version-exchange.js";
import * as wire from "../../generated/pomelostall/peer/v1/peer_pb.js";
import type { Delta, DemandSlice, FleetState, GossipMessage } from "../../process/membership/index.js";

const stateToWire = {
    [RouterState.alive]: wire.MemberState.ALIVE,
    [RouterState.suspect]: wire.MemberState.SUSPECT,
    [RouterState.dead]: wire.MemberState.DEAD,
    [RouterState.left]: wire.MemberState.LEFT,
} as const;

const signalToWire = {
    [BackendServerSignal.leaving]: wire.NoticeSignal.LEAVING,
    [BackendServerSignal.failed]: wire.NoticeSignal.FAILED,
} as const;

export function encodeGossip(message: GossipMessage): wire.GossipMessage {
    return create(wire.GossipMessageSchema, {
        senderId: message.senderId,
        incarnation: message.incarnation,
        configurationVersion: message.configurationVersion,
        digest: message.digest,
        deltas: message.deltas.map(encodeDelta),
        demand: message.demand === undefined ? undefined : encodeDemand(message.demand),
        unknownSender: message.unknownSender,
    });
}

export function decodeGossip(message: wire.GossipMessage): GossipMessage {
    return {
        senderId: message.senderId,
        incarnation: message.incarnation,
        configurationVersion: message.configurationVersion,
        digest: message.digest,
        deltas: message.deltas.map(decodeDelta).filter(delta => delta !== undefined),
        demand: message.demand === undefined ? undefined : decodeDemand(message.demand),
        unknownSender: message.unknownSender,
    };
}

export function encodeFleetState(state: FleetState): wire.FleetState {
    return create(wire.FleetStateSchema, {
        members: state.members.map(encodeMember),
        notices: state.notices.map(encodeNotice),
        version: state.version === undefined ? undefined : encodeAnnouncement(state.version),
    });
}

export function decodeFleetState(state: wire.FleetState): FleetState {
    return {
        members: state.members.map(decodeMember).filter(member => member !== undefined),
        notices: state.notices.map(decodeNotice).filter(notice => notice !== undefined),
        version: state.version,
    };
}

export function encodeStoredVersion(stored: StoredVersion): wire.StoredVersion {
    return create(wire.StoredVersionSchema, { ...stored.record, compressedSheet: stored.compressedSheet });
}

export function decodeStoredVersion(stored: wire.StoredVersion): StoredVersion {
    const { version, pushId, parent, author, acceptedAt, compressedSheet } = stored;
    return { record: { version, pushId, parent, author, acceptedAt }, compressedSheet };
}

function encodeDelta(delta: Delta): wire.Delta {
    switch (delta.kind) {
        case "member":
            return create(wire.DeltaSchema, { item: { case: "member", value: encodeMember(delta.member) } });
        case "notice":
            return create(wire.DeltaSchema, { item: { case: "notice", value: encodeNotice(delta.notice) } });
        case "version":
            return create(wire.DeltaSchema, {
                item: { case: "version", value: encodeAnnouncement(delta.announcement) },
            });
    }
}

/** Returns undefined for a delta kind, member state or notice signal that only newer routers know. */
function decodeDelta(delta: wire.Delta): Delta | undefined {
    switch (delta.item.case) {
        case "member": {
            const member = decodeMember(delta.item.value);
            return member === undefined ? undefined : { kind: "member", member };
        }
        case "notice": {
            const notice = decodeNotice(delta.item.value);
            return notice === undefined ? undefined : { kind: "notice", notice };
        }
        case "version": {
            const { routerId, version } = delta.item.value;
            return { kind: "version", announcement: { routerId, version } };
        }
        case undefined:
            return undefined;
    }
}

function encodeMember(member: RouterMember): wire.Member {
    const { id, address, location, incarnation, state, configurationVersion } = member;
    const { region, availabilityZone } = location;
    return create(wire.MemberSchema, {
        id,
        address,
        region,
        availabilityZone,
        incarnation,
        state: stateToWire[state],
        configurationVersion,
    });
}

function decodeMember(member: wire.Member): RouterMember | undefined {
    const state = Object.values(RouterState).find(known => stateToWire[known] === member.state);
    const { id, address, region, availabilityZone, incarnation, configurationVersion } = member;
    return state === undefined
        ? undefined
        : { id, address, location: { region, availabilityZone }, incarnation, state, configurationVersion };
}

function encodeNotice(notice: BackendServerNotice): wire.Notice {
    return create(wire.NoticeSchema, {
        backendServer: notice.backendServer,
        incarnation: BigInt(notice.incarnation),
        signal: signalToWire[notice.signal],
    });
}

function decodeNotice(notice: wire.Notice): BackendServerNotice | undefined {
    const signal = Object.values(BackendServerSignal).find(known => signalToWire[known] === notice.signal);
    const { backendServer, incarnation } = notice;
    return signal === undefined ? undefined : { backendServer, incarnation: Number(incarnation), signal };
}

function encodeAnnouncement(announcement: VersionAnnouncement): wire.VersionAnnouncement {
    return create(wire.VersionAnnouncementSchema, announcement);
}

function encodeDemand(slice: DemandSlice): wire.DemandSlice {
    const keyDifferences = slice.keys.map((key, index) => key - (slice.keys[index - 1] ?? 0));
    const { epoch, slice: sliceNumber, sliceBits, values } = slice;
    return create(wire.DemandSliceSchema, {
        epoch,
        slice: sliceNumber,
        sliceBits,
        keyDifferences,
        values: [...values],
    });
}

function decodeDemand(slice: wire.DemandSlice): DemandSlice {
    let key = 0;
    const keys = slice.keyDifferences.map(difference => key += difference);
    return { epoch: slice.epoch, slice: slice.slice, sliceBits: slice.sliceBits, keys, values: slice.values };
}
