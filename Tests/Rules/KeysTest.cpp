/// \file
/// Tests of signatures and key files.

#include <boost/test/unit_test.hpp>

#include "balsamlatch/Rules/Adoption.h"
#include "balsamlatch/Rules/Keys.h"

#include <cstdio>
#include <filesystem>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace balsamlatch;

namespace {

PrivateKey testKey(std::uint8_t SeedByte) {
  std::array<std::uint8_t, 32> Seed{};
  Seed.fill(SeedByte);
  return *PrivateKey::fromSeed(Seed);
}

/// A directory that is removed on destruction.
struct TemporaryDirectory {
  std::filesystem::path Path = std::filesystem::temp_directory_path() /
                               fmt::format("balsamlatch-keys-{}", ::getpid());

  TemporaryDirectory() { std::filesystem::create_directories(Path); }
  ~TemporaryDirectory() { std::filesystem::remove_all(Path); }
};

} // namespace

BOOST_AUTO_TEST_CASE(PublicKeyMatchesThePublishedVector) {
  // RFC 8032, 7.1, test 1.
  std::array<std::uint8_t, 32> Seed{};
  BOOST_REQUIRE(fromHex(
      "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60",
      Seed.data(), Seed.size()));
  const absl::StatusOr<PrivateKey> Key = PrivateKey::fromSeed(Seed);
  BOOST_REQUIRE(Key.ok());
  BOOST_TEST(
      toHex(Key->publicKey()) ==
      "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
  BOOST_TEST(verifySignature(Key->publicKey(), "", Key->sign("")));
}

BOOST_AUTO_TEST_CASE(OnlyTheRightKeyAndMessageVerify) {
  const PrivateKey Key = testKey(1);
  Signature SignatureValue = Key.sign("message");
  BOOST_TEST(verifySignature(Key.publicKey(), "message", SignatureValue));
  BOOST_TEST(!verifySignature(Key.publicKey(), "massage", SignatureValue));
  BOOST_TEST(
      !verifySignature(testKey(2).publicKey(), "message", SignatureValue));
  SignatureValue.Bytes[5] ^= 1U;
  BOOST_TEST(!verifySignature(Key.publicKey(), "message", SignatureValue));
}

BOOST_AUTO_TEST_CASE(KeyFilesAreForTheirUserOnly) {
  const TemporaryDirectory Directory;
  const std::string Path = (Directory.Path / "anna.key").string();
  const PrivateKey Key = testKey(3);
  BOOST_REQUIRE(writeKeyFile(Path, Key).ok());
  struct stat FileStatus {};
  BOOST_REQUIRE(::stat(Path.c_str(), &FileStatus) == 0);
  BOOST_TEST((FileStatus.st_mode & 07777U) == 0600U);
  BOOST_TEST(absl::IsAlreadyExists(writeKeyFile(Path, Key)));

  const absl::StatusOr<PrivateKey> ReadBack = readKeyFile(Path);
  BOOST_REQUIRE(ReadBack.ok());
  BOOST_TEST((ReadBack->publicKey() == Key.publicKey()));

  for (const mode_t UnsafeMode : {0640U, 0604U, 0620U, 0660U}) {
    BOOST_REQUIRE(::chmod(Path.c_str(), UnsafeMode) == 0);
    BOOST_TEST(absl::IsPermissionDenied(readKeyFile(Path).status()));
  }
}
