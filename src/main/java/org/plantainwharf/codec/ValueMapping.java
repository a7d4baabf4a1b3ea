package org.plantainwharf.codec;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.protobuf.UnsafeByteOperations;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Departure;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.wire.PeerProtocol;

/** Maps values that occur in several messages to and from protobuf. Stateless and thread-safe. */
final class ValueMapping {
    /** Encodes variants that carry no data. */
    static final PeerProtocol.Nothing NOTHING = PeerProtocol.Nothing.getDefaultInstance();

    private ValueMapping() {}

    static PeerProtocol.Departure encode(Departure departure, long wallClockMillis) {
        return PeerProtocol.Departure.newBuilder()
                .setServer(departure.server().value())
                .setStartEpochMillis(departure.startEpochMillis())
                .setDeregistered(departure.deregistered())
                .setWallClockMillis(wallClockMillis)
                .build();
    }

    static Departure decode(PeerProtocol.Departure wire) {
        return new Departure(ServerId.of(wire.getServer()), wire.getStartEpochMillis(), wire.getDeregistered());
    }

    static PeerProtocol.Content encode(Content content) {
        // The array is never modified after the content is constructed, so it need not be copied.
        return PeerProtocol.Content.newBuilder()
                .setMediaType(content.mediaType())
                .setData(UnsafeByteOperations.unsafeWrap(content.bytes()))
                .build();
    }

    static Content decode(PeerProtocol.Content wire) {
        return Content.of(wire.getMediaType(), wire.getData().toByteArray());
    }

    static PeerProtocol.VoterId encode(VoterId voter) {
        return PeerProtocol.VoterId.newBuilder()
                .setHost(voter.host().value())
                .setDiskIncarnation(voter.diskIncarnation())
                .build();
    }

    static VoterId decode(PeerProtocol.VoterId wire) {
        return VoterId.of(HostId.of(wire.getHost()), wire.getDiskIncarnation());
    }

    static List<PeerProtocol.VoterId> encodeVoters(Collection<VoterId> voters) {
        return voters.stream().map(ValueMapping::encode).toList();
    }

    static List<VoterId> decodeVoters(List<PeerProtocol.VoterId> wire) {
        return wire.stream().map(ValueMapping::decode).toList();
    }

    static PeerProtocol.ModelCall encode(CallKind.Model model) {
        return PeerProtocol.ModelCall.newBuilder()
                .setModel(model.model().value())
                .setPromptTokens(model.promptTokens())
                .setMaximumTokens(model.maximumTokens())
                .addAllPrefixBlocks(model.prefixBlocks())
                .setStream(model.stream())
                .build();
    }

    static CallKind.Model decode(PeerProtocol.ModelCall wire) {
        return new CallKind.Model(
                ModelName.of(wire.getModel()),
                wire.getPromptTokens(),
                wire.getMaximumTokens(),
                wire.getPrefixBlocksList(),
                wire.getStream());
    }

    static PeerProtocol.DocumentVersion encodeDocument(long version, Content content) {
        return PeerProtocol.DocumentVersion.newBuilder()
                .setVersion(version)
                .setContent(encode(content))
                .build();
    }

    static PeerProtocol.UsageReport encodeUsage(long window, Map<AccountName, Long> requests) {
        PeerProtocol.UsageReport.Builder wire =
                PeerProtocol.UsageReport.newBuilder().setWindow(window);
        requests.entrySet().stream()
                .sorted(Map.Entry.comparingByKey(Comparator.comparing(AccountName::value)))
                .forEach(entry -> wire.addCounts(PeerProtocol.UsageCount.newBuilder()
                        .setAccount(entry.getKey().value())
                        .setRequests(entry.getValue())));
        return wire.build();
    }

    static Map<AccountName, Long> decodeUsage(PeerProtocol.UsageReport wire) {
        return wire.getCountsList().stream()
                .collect(Collectors.toMap(
                        count -> AccountName.of(count.getAccount()), PeerProtocol.UsageCount::getRequests, Long::sum));
    }

    static List<PeerProtocol.AccountRate> encodeRates(Map<AccountName, Double> rates) {
        return rates.entrySet().stream()
                .map(entry -> PeerProtocol.AccountRate.newBuilder()
                        .setAccount(entry.getKey().value())
                        .setRequestsPerSecond(entry.getValue())
                        .build())
                .sorted(Comparator.comparing(PeerProtocol.AccountRate::getAccount))
                .toList();
    }

    static Map<AccountName, Double> decodeRates(List<PeerProtocol.AccountRate> wire) {
        return wire.stream()
                .collect(Collectors.toMap(
                        rate -> AccountName.of(rate.getAccount()), PeerProtocol.AccountRate::getRequestsPerSecond));
    }

    static <T> List<String> encodeNames(Set<T> names, Function<T, String> text) {
        return names.stream().map(text).sorted().toList();
    }

    static <T> Set<T> decodeNames(List<String> wire, Function<String, T> name) {
        return wire.stream().map(name).collect(Collectors.toUnmodifiableSet());
    }
}
